package wire

import (
	"capnproto.org/go/capnp/v3"
	"capnproto.org/go/capnp/v3/pogs"

	"github.com/pathtally/pathtally/internal/wire/schema"
)

// decoder reads the message of a frame of one kind.
type decoder func(root schema.Frame) (Message, error)

// decoders has one decoder for each kind of message. Package pogs, which maps fields by
// name, is given the message alone and not the frame around it: mapping the union of all
// messages on each call would cost more than the message.
var decoders = map[schema.Frame_Which]decoder{
	schema.Frame_Which_hello:           reads[Hello](schema.Hello_TypeID, schema.Frame.Hello),
	schema.Frame_Which_failure:         reads[Failure](schema.Failure_TypeID, schema.Frame.Failure),
	schema.Frame_Which_ping:            reads[Ping](schema.Ping_TypeID, schema.Frame.Ping),
	schema.Frame_Which_ack:             reads[Ack](schema.Ack_TypeID, schema.Frame.Ack),
	schema.Frame_Which_sync:            reads[Sync](schema.Sync_TypeID, schema.Frame.Sync),
	schema.Frame_Which_records:         reads[Records](schema.Records_TypeID, schema.Frame.Records),
	schema.Frame_Which_documentPull:    reads[DocumentPull](schema.DocumentPull_TypeID, schema.Frame.DocumentPull),
	schema.Frame_Which_documentReply:   reads[DocumentReply](schema.DocumentReply_TypeID, schema.Frame.DocumentReply),
	schema.Frame_Which_claimRequest:    reads[ClaimRequest](schema.ClaimRequest_TypeID, schema.Frame.ClaimRequest),
	schema.Frame_Which_claimReply:      reads[ClaimReply](schema.ClaimReply_TypeID, schema.Frame.ClaimReply),
	schema.Frame_Which_claimSeal:       reads[ClaimSeal](schema.ClaimSeal_TypeID, schema.Frame.ClaimSeal),
	schema.Frame_Which_claimSnapshot:   reads[ClaimSnapshot](schema.ClaimSnapshot_TypeID, schema.Frame.ClaimSnapshot),
	schema.Frame_Which_samplePut:       reads[SamplePut](schema.SamplePut_TypeID, schema.Frame.SamplePut),
	schema.Frame_Which_sampleList:      reads[SampleList](schema.SampleList_TypeID, schema.Frame.SampleList),
	schema.Frame_Which_sampleGet:       reads[SampleGet](schema.SampleGet_TypeID, schema.Frame.SampleGet),
	schema.Frame_Which_samples:         reads[Samples](schema.Samples_TypeID, schema.Frame.Samples),
	schema.Frame_Which_registerPrepare: reads[RegisterPrepare](schema.RegisterPrepare_TypeID, schema.Frame.RegisterPrepare),
	schema.Frame_Which_registerAccept:  reads[RegisterAccept](schema.RegisterAccept_TypeID, schema.Frame.RegisterAccept),
	schema.Frame_Which_registerReply:   reads[RegisterReply](schema.RegisterReply_TypeID, schema.Frame.RegisterReply),
	schema.Frame_Which_nodeBeat:        reads[NodeBeat](schema.NodeBeat_TypeID, schema.Frame.NodeBeat),
	schema.Frame_Which_jobRead:         reads[JobRead](schema.JobRead_TypeID, schema.Frame.JobRead),
	schema.Frame_Which_jobPage:         reads[JobPage](schema.JobPage_TypeID, schema.Frame.JobPage),
	schema.Frame_Which_jobItem:         reads[JobItem](schema.JobItem_TypeID, schema.Frame.JobItem),
	schema.Frame_Which_jobItemBody:     reads[JobItemBody](schema.JobItemBody_TypeID, schema.Frame.JobItemBody),
	schema.Frame_Which_jobEnd:          reads[JobEnd](schema.JobEnd_TypeID, schema.Frame.JobEnd),
	schema.Frame_Which_jobOffer:        reads[JobOffer](schema.JobOffer_TypeID, schema.Frame.JobOffer),
	schema.Frame_Which_jobSubmit:       reads[JobSubmit](schema.JobSubmit_TypeID, schema.Frame.JobSubmit),
	schema.Frame_Which_jobSubmitted:    reads[JobSubmitted](schema.JobSubmitted_TypeID, schema.Frame.JobSubmitted),
	schema.Frame_Which_usagePush:       reads[UsagePush](schema.UsagePush_TypeID, schema.Frame.UsagePush),
	schema.Frame_Which_usageTaken:      reads[UsageTaken](schema.UsageTaken_TypeID, schema.Frame.UsageTaken),
	schema.Frame_Which_permitAsk:       reads[PermitAsk](schema.PermitAsk_TypeID, schema.Frame.PermitAsk),
	schema.Frame_Which_permitGrant:     reads[PermitGrant](schema.PermitGrant_TypeID, schema.Frame.PermitGrant),
	schema.Frame_Which_jobFind:         reads[JobFind](schema.JobFind_TypeID, schema.Frame.JobFind),
	schema.Frame_Which_jobFound:        reads[JobFound](schema.JobFound_TypeID, schema.Frame.JobFound),
	schema.Frame_Which_crashReport:     reads[CrashReport](schema.CrashReport_TypeID, schema.Frame.CrashReport),
	schema.Frame_Which_watchPoll:       reads[WatchPoll](schema.WatchPoll_TypeID, schema.Frame.WatchPoll),
	schema.Frame_Which_watchNews:       reads[WatchNews](schema.WatchNews_TypeID, schema.Frame.WatchNews),
	schema.Frame_Which_storeCall:       reads[StoreCall](schema.StoreCall_TypeID, schema.Frame.StoreCall),
	schema.Frame_Which_storeReply:      reads[StoreReply](schema.StoreReply_TypeID, schema.Frame.StoreReply),
	schema.Frame_Which_loadReport:      decodeLoadReport,
	schema.Frame_Which_done:            func(schema.Frame) (Message, error) { return &Done{}, nil },
}

// reads returns the decoder of a message whose struct a frame holds.
func reads[M any, Body ~capnp.StructKind, Pointer interface {
	*M
	Message
}](typeID uint64, bodyOf func(schema.Frame) (Body, error)) decoder {
	return func(root schema.Frame) (Message, error) {
		message := new(M)
		body, err := bodyOf(root)
		if err == nil {
			err = pogs.Extract(message, typeID, capnp.Struct(body))
		}
		if err != nil {
			return nil, &FrameError{Detail: "extract", Cause: err}
		}
		return Pointer(message), nil
	}
}

// payload reads the message of a frame. Its error is a *FrameError.
func payload(root schema.Frame) (Message, error) {
	decode := decoders[root.Which()]
	if decode == nil {
		return nil, &FrameError{Detail: "no message of this protocol version"}
	}
	return decode(root)
}
