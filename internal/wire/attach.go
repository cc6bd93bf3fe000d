package wire

import (
	"capnproto.org/go/capnp/v3"
	"capnproto.org/go/capnp/v3/pogs"

	"github.com/pathtally/pathtally/internal/wire/schema"
)

// insert encodes a message into the Cap'n Proto struct body. It takes the error of the
// struct's allocation, so that callers need not check it.
func insert(typeID uint64, body capnp.Struct, err error, message any) error {
	if err == nil {
		err = pogs.Insert(typeID, body, message)
	}
	if err != nil {
		return &FrameError{Detail: "insert", Cause: err}
	}
	return nil
}

func (m *Hello) attach(root schema.Frame) error {
	body, err := root.NewHello()
	return insert(schema.Hello_TypeID, capnp.Struct(body), err, m)
}

func (m *Failure) attach(root schema.Frame) error {
	body, err := root.NewFailure()
	return insert(schema.Failure_TypeID, capnp.Struct(body), err, m)
}

func (m *Ping) attach(root schema.Frame) error {
	body, err := root.NewPing()
	return insert(schema.Ping_TypeID, capnp.Struct(body), err, m)
}

func (m *Ack) attach(root schema.Frame) error {
	body, err := root.NewAck()
	return insert(schema.Ack_TypeID, capnp.Struct(body), err, m)
}

func (m *Sync) attach(root schema.Frame) error {
	body, err := root.NewSync()
	return insert(schema.Sync_TypeID, capnp.Struct(body), err, m)
}

func (m *Records) attach(root schema.Frame) error {
	body, err := root.NewRecords()
	return insert(schema.Records_TypeID, capnp.Struct(body), err, m)
}

func (m *DocumentPull) attach(root schema.Frame) error {
	body, err := root.NewDocumentPull()
	return insert(schema.DocumentPull_TypeID, capnp.Struct(body), err, m)
}

func (m *DocumentReply) attach(root schema.Frame) error {
	body, err := root.NewDocumentReply()
	return insert(schema.DocumentReply_TypeID, capnp.Struct(body), err, m)
}

func (m *ClaimRequest) attach(root schema.Frame) error {
	body, err := root.NewClaimRequest()
	return insert(schema.ClaimRequest_TypeID, capnp.Struct(body), err, m)
}

func (m *ClaimReply) attach(root schema.Frame) error {
	body, err := root.NewClaimReply()
	return insert(schema.ClaimReply_TypeID, capnp.Struct(body), err, m)
}

func (m *ClaimSeal) attach(root schema.Frame) error {
	body, err := root.NewClaimSeal()
	return insert(schema.ClaimSeal_TypeID, capnp.Struct(body), err, m)
}

func (m *ClaimSnapshot) attach(root schema.Frame) error {
	body, err := root.NewClaimSnapshot()
	return insert(schema.ClaimSnapshot_TypeID, capnp.Struct(body), err, m)
}

func (m *SamplePut) attach(root schema.Frame) error {
	body, err := root.NewSamplePut()
	return insert(schema.SamplePut_TypeID, capnp.Struct(body), err, m)
}

func (m *SampleList) attach(root schema.Frame) error {
	body, err := root.NewSampleList()
	return insert(schema.SampleList_TypeID, capnp.Struct(body), err, m)
}

func (m *SampleGet) attach(root schema.Frame) error {
	body, err := root.NewSampleGet()
	return insert(schema.SampleGet_TypeID, capnp.Struct(body), err, m)
}

func (m *Samples) attach(root schema.Frame) error {
	body, err := root.NewSamples()
	return insert(schema.Samples_TypeID, capnp.Struct(body), err, m)
}

func (m *RegisterPrepare) attach(root schema.Frame) error {
	body, err := root.NewRegisterPrepare()
	return insert(schema.RegisterPrepare_TypeID, capnp.Struct(body), err, m)
}

func (m *RegisterAccept) attach(root schema.Frame) error {
	body, err := root.NewRegisterAccept()
	return insert(schema.RegisterAccept_TypeID, capnp.Struct(body), err, m)
}

func (m *RegisterReply) attach(root schema.Frame) error {
	body, err := root.NewRegisterReply()
	return insert(schema.RegisterReply_TypeID, capnp.Struct(body), err, m)
}

func (m *NodeBeat) attach(root schema.Frame) error {
	body, err := root.NewNodeBeat()
	return insert(schema.NodeBeat_TypeID, capnp.Struct(body), err, m)
}

func (m *JobRead) attach(root schema.Frame) error {
	body, err := root.NewJobRead()
	return insert(schema.JobRead_TypeID, capnp.Struct(body), err, m)
}

func (m *JobPage) attach(root schema.Frame) error {
	body, err := root.NewJobPage()
	return insert(schema.JobPage_TypeID, capnp.Struct(body), err, m)
}

func (m *JobItem) attach(root schema.Frame) error {
	body, err := root.NewJobItem()
	return insert(schema.JobItem_TypeID, capnp.Struct(body), err, m)
}

func (m *JobItemBody) attach(root schema.Frame) error {
	body, err := root.NewJobItemBody()
	return insert(schema.JobItemBody_TypeID, capnp.Struct(body), err, m)
}

func (m *JobEnd) attach(root schema.Frame) error {
	body, err := root.NewJobEnd()
	return insert(schema.JobEnd_TypeID, capnp.Struct(body), err, m)
}

func (m *JobOffer) attach(root schema.Frame) error {
	body, err := root.NewJobOffer()
	return insert(schema.JobOffer_TypeID, capnp.Struct(body), err, m)
}

func (m *JobSubmit) attach(root schema.Frame) error {
	body, err := root.NewJobSubmit()
	return insert(schema.JobSubmit_TypeID, capnp.Struct(body), err, m)
}

func (m *JobSubmitted) attach(root schema.Frame) error {
	body, err := root.NewJobSubmitted()
	return insert(schema.JobSubmitted_TypeID, capnp.Struct(body), err, m)
}

func (m *UsagePush) attach(root schema.Frame) error {
	body, err := root.NewUsagePush()
	return insert(schema.UsagePush_TypeID, capnp.Struct(body), err, m)
}

func (m *UsageTaken) attach(root schema.Frame) error {
	body, err := root.NewUsageTaken()
	return insert(schema.UsageTaken_TypeID, capnp.Struct(body), err, m)
}

func (m *PermitAsk) attach(root schema.Frame) error {
	body, err := root.NewPermitAsk()
	return insert(schema.PermitAsk_TypeID, capnp.Struct(body), err, m)
}

func (m *PermitGrant) attach(root schema.Frame) error {
	body, err := root.NewPermitGrant()
	return insert(schema.PermitGrant_TypeID, capnp.Struct(body), err, m)
}

func (m *JobFind) attach(root schema.Frame) error {
	body, err := root.NewJobFind()
	return insert(schema.JobFind_TypeID, capnp.Struct(body), err, m)
}

func (m *JobFound) attach(root schema.Frame) error {
	body, err := root.NewJobFound()
	return insert(schema.JobFound_TypeID, capnp.Struct(body), err, m)
}

func (m *CrashReport) attach(root schema.Frame) error {
	body, err := root.NewCrashReport()
	return insert(schema.CrashReport_TypeID, capnp.Struct(body), err, m)
}

func (m *WatchPoll) attach(root schema.Frame) error {
	body, err := root.NewWatchPoll()
	return insert(schema.WatchPoll_TypeID, capnp.Struct(body), err, m)
}

func (m *WatchNews) attach(root schema.Frame) error {
	body, err := root.NewWatchNews()
	return insert(schema.WatchNews_TypeID, capnp.Struct(body), err, m)
}

func (m *StoreCall) attach(root schema.Frame) error {
	body, err := root.NewStoreCall()
	return insert(schema.StoreCall_TypeID, capnp.Struct(body), err, m)
}

func (m *StoreReply) attach(root schema.Frame) error {
	body, err := root.NewStoreReply()
	return insert(schema.StoreReply_TypeID, capnp.Struct(body), err, m)
}

func (m *LoadReport) attach(root schema.Frame) error { return encodeLoadReport(root, m) }

func (m *Done) attach(root schema.Frame) error {
	root.SetDone()
	return nil
}
