package wire

import (
	"capnproto.org/go/capnp/v3"
	"capnproto.org/go/capnp/v3/pogs"

	"github.com/pathtally/pathtally/internal/wire/schema"
)

// decoder decodes the message of a frame.
type decoder func(root schema.Frame) (Message, error)

// decoders has one decoder for each type of message. Package pogs, which maps fields by
// name, decodes the message only and not the frame: mapping the union of all messages for
// each frame would cost more than decoding the message.
var decoders = map[schema.Frame_Which]decoder{
	schema.Frame_Which_hello:           structDecoder[Hello](schema.Hello_TypeID, schema.Frame.Hello),
	schema.Frame_Which_failure:         structDecoder[Failure](schema.Failure_TypeID, schema.Frame.Failure),
	schema.Frame_Which_ping:            structDecoder[Ping](schema.Ping_TypeID, schema.Frame.Ping),
	schema.Frame_Which_ack:             structDecoder[Ack](schema.Ack_TypeID, schema.Frame.Ack),
	schema.Frame_Which_sync:            structDecoder[Sync](schema.Sync_TypeID, schema.Frame.Sync),
	schema.Frame_Which_records:         structDecoder[Records](schema.Records_TypeID, schema.Frame.Records),
	schema.Frame_Which_documentPull:    structDecoder[DocumentPull](schema.DocumentPull_TypeID, schema.Frame.DocumentPull),
	schema.Frame_Which_documentReply:   structDecoder[DocumentReply](schema.DocumentReply_TypeID, schema.Frame.DocumentReply),
	schema.Frame_Which_claimRequest:    structDecoder[ClaimRequest](schema.ClaimRequest_TypeID, schema.Frame.ClaimRequest),
	schema.Frame_Which_claimReply:      structDecoder[ClaimReply](schema.ClaimReply_TypeID, schema.Frame.ClaimReply),
	schema.Frame_Which_claimSeal:       structDecoder[ClaimSeal](schema.ClaimSeal_TypeID, schema.Frame.ClaimSeal),
	schema.Frame_Which_claimSnapshot:   structDecoder[ClaimSnapshot](schema.ClaimSnapshot_TypeID, schema.Frame.ClaimSnapshot),
	schema.Frame_Which_samplePut:       structDecoder[SamplePut](schema.SamplePut_TypeID, schema.Frame.SamplePut),
	schema.Frame_Which_sampleList:      structDecoder[SampleList](schema.SampleList_TypeID, schema.Frame.SampleList),
	schema.Frame_Which_sampleGet:       structDecoder[SampleGet](schema.SampleGet_TypeID, schema.Frame.SampleGet),
	schema.Frame_Which_samples:         structDecoder[Samples](schema.Samples_TypeID, schema.Frame.Samples),
	schema.Frame_Which_registerPrepare: structDecoder[RegisterPrepare](schema.RegisterPrepare_TypeID, schema.Frame.RegisterPrepare),
	schema.Frame_Which_registerAccept:  structDecoder[RegisterAccept](schema.RegisterAccept_TypeID, schema.Frame.RegisterAccept),
	schema.Frame_Which_registerReply:   structDecoder[RegisterReply](schema.RegisterReply_TypeID, schema.Frame.RegisterReply),
	schema.Frame_Which_nodeBeat:        structDecoder[NodeBeat](schema.NodeBeat_TypeID, schema.Frame.NodeBeat),
	schema.Frame_Which_jobRead:         structDecoder[JobRead](schema.JobRead_TypeID, schema.Frame.JobRead),
	schema.Frame_Which_jobPage:         structDecoder[JobPage](schema.JobPage_TypeID, schema.Frame.JobPage),
	schema.Frame_Which_jobItem:         structDecoder[JobItem](schema.JobItem_TypeID, schema.Frame.JobItem),
	schema.Frame_Which_jobItemBody:     structDecoder[JobItemBody](schema.JobItemBody_TypeID, schema.Frame.JobItemBody),
	schema.Frame_Which_jobEnd:          structDecoder[JobEnd](schema.JobEnd_TypeID, schema.Frame.JobEnd),
	schema.Frame_Which_jobOffer:        structDecoder[JobOffer](schema.JobOffer_TypeID, schema.Frame.JobOffer),
	schema.Frame_Which_jobSubmit:       structDecoder[JobSubmit](schema.JobSubmit_TypeID, schema.Frame.JobSubmit),
	schema.Frame_Which_jobSubmitted:    structDecoder[JobSubmitted](schema.JobSubmitted_TypeID, schema.Frame.JobSubmitted),
	schema.Frame_Which_usagePush:       structDecoder[UsagePush](schema.UsagePush_TypeID, schema.Frame.UsagePush),
	schema.Frame_Which_usageTaken:      structDecoder[UsageTaken](schema.UsageTaken_TypeID, schema.Frame.UsageTaken),
	schema.Frame_Which_permitAsk:       structDecoder[PermitAsk](schema.PermitAsk_TypeID, schema.Frame.PermitAsk),
	schema.Frame_Which_permitGrant:     structDecoder[PermitGrant](schema.PermitGrant_TypeID, schema.Frame.PermitGrant),
	schema.Frame_Which_jobFind:         structDecoder[JobFind](schema.JobFind_TypeID, schema.Frame.JobFind),
	schema.Frame_Which_jobFound:        structDecoder[JobFound](schema.JobFound_TypeID, schema.Frame.JobFound),
	schema.Frame_Which_crashReport:     structDecoder[CrashReport](schema.CrashReport_TypeID, schema.Frame.CrashReport),
	schema.Frame_Which_watchPoll:       structDecoder[WatchPoll](schema.WatchPoll_TypeID, schema.Frame.WatchPoll),
	schema.Frame_Which_watchNews:       structDecoder[WatchNews](schema.WatchNews_TypeID, schema.Frame.WatchNews),
	schema.Frame_Which_storeCall:       structDecoder[StoreCall](schema.StoreCall_TypeID, schema.Frame.StoreCall),
	schema.Frame_Which_storeReply:      structDecoder[StoreReply](schema.StoreReply_TypeID, schema.Frame.StoreReply),
	schema.Frame_Which_loadReport:      decodeLoadReport,
	schema.Frame_Which_done:            func(schema.Frame) (Message, error) { return &Done{}, nil },
}

// structDecoder returns a decoder for messages that the frame holds as a struct.
func structDecoder[M any, Body ~capnp.StructKind, Pointer interface {
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

// decodeMessage decodes the message of a frame. Its error is a *FrameError.
func decodeMessage(root schema.Frame) (Message, error) {
	decode := decoders[root.Which()]
	if decode == nil {
		return nil, &FrameError{Detail: "unknown message type"}
	}
	return decode(root)
}
