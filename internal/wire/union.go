package wire

import "github.com/pathtally/pathtally/internal/wire/schema"

// frame mirrors schema.Frame field by field, for package pogs.
type frame struct {
	Correlation uint64
	Reply       bool
	Deadline    int64
	Which       schema.Frame_Which

	Hello           *Hello
	Failure         *Failure
	Ping            *Ping
	Ack             *Ack
	Sync            *Sync
	Records         *Records
	DocumentPull    *DocumentPull
	DocumentReply   *DocumentReply
	LoadReport      *LoadReport
	ClaimRequest    *ClaimRequest
	ClaimReply      *ClaimReply
	ClaimSeal       *ClaimSeal
	ClaimSnapshot   *ClaimSnapshot
	SamplePut       *SamplePut
	SampleList      *SampleList
	SampleGet       *SampleGet
	Samples         *Samples
	RegisterPrepare *RegisterPrepare
	RegisterAccept  *RegisterAccept
	RegisterReply   *RegisterReply
}

// message returns the payload, or nil when there is none.
func (f *frame) message() Message {
	switch f.Which {
	case schema.Frame_Which_hello:
		return f.Hello
	case schema.Frame_Which_failure:
		return f.Failure
	case schema.Frame_Which_ping:
		return f.Ping
	case schema.Frame_Which_ack:
		return f.Ack
	case schema.Frame_Which_sync:
		return f.Sync
	case schema.Frame_Which_records:
		return f.Records
	case schema.Frame_Which_documentPull:
		return f.DocumentPull
	case schema.Frame_Which_documentReply:
		return f.DocumentReply
	case schema.Frame_Which_loadReport:
		return f.LoadReport
	case schema.Frame_Which_claimRequest:
		return f.ClaimRequest
	case schema.Frame_Which_claimReply:
		return f.ClaimReply
	case schema.Frame_Which_claimSeal:
		return f.ClaimSeal
	case schema.Frame_Which_claimSnapshot:
		return f.ClaimSnapshot
	case schema.Frame_Which_samplePut:
		return f.SamplePut
	case schema.Frame_Which_sampleList:
		return f.SampleList
	case schema.Frame_Which_sampleGet:
		return f.SampleGet
	case schema.Frame_Which_samples:
		return f.Samples
	case schema.Frame_Which_registerPrepare:
		return f.RegisterPrepare
	case schema.Frame_Which_registerAccept:
		return f.RegisterAccept
	case schema.Frame_Which_registerReply:
		return f.RegisterReply
	case schema.Frame_Which_done:
		return &Done{}
	}
	return nil
}

func (m *Hello) attach(f *frame)        { f.Which, f.Hello = schema.Frame_Which_hello, m }
func (m *Failure) attach(f *frame)      { f.Which, f.Failure = schema.Frame_Which_failure, m }
func (m *Ping) attach(f *frame)         { f.Which, f.Ping = schema.Frame_Which_ping, m }
func (m *Ack) attach(f *frame)          { f.Which, f.Ack = schema.Frame_Which_ack, m }
func (m *Sync) attach(f *frame)         { f.Which, f.Sync = schema.Frame_Which_sync, m }
func (m *Records) attach(f *frame)      { f.Which, f.Records = schema.Frame_Which_records, m }
func (m *DocumentPull) attach(f *frame) { f.Which, f.DocumentPull = schema.Frame_Which_documentPull, m }
func (m *DocumentReply) attach(f *frame) {
	f.Which, f.DocumentReply = schema.Frame_Which_documentReply, m
}
func (m *LoadReport) attach(f *frame)   { f.Which, f.LoadReport = schema.Frame_Which_loadReport, m }
func (m *ClaimRequest) attach(f *frame) { f.Which, f.ClaimRequest = schema.Frame_Which_claimRequest, m }
func (m *ClaimReply) attach(f *frame)   { f.Which, f.ClaimReply = schema.Frame_Which_claimReply, m }
func (m *ClaimSeal) attach(f *frame)    { f.Which, f.ClaimSeal = schema.Frame_Which_claimSeal, m }
func (m *ClaimSnapshot) attach(f *frame) {
	f.Which, f.ClaimSnapshot = schema.Frame_Which_claimSnapshot, m
}
func (m *SamplePut) attach(f *frame)  { f.Which, f.SamplePut = schema.Frame_Which_samplePut, m }
func (m *SampleList) attach(f *frame) { f.Which, f.SampleList = schema.Frame_Which_sampleList, m }
func (m *SampleGet) attach(f *frame)  { f.Which, f.SampleGet = schema.Frame_Which_sampleGet, m }
func (m *Samples) attach(f *frame)    { f.Which, f.Samples = schema.Frame_Which_samples, m }
func (m *RegisterPrepare) attach(f *frame) {
	f.Which, f.RegisterPrepare = schema.Frame_Which_registerPrepare, m
}
func (m *RegisterAccept) attach(f *frame) {
	f.Which, f.RegisterAccept = schema.Frame_Which_registerAccept, m
}
func (m *RegisterReply) attach(f *frame) {
	f.Which, f.RegisterReply = schema.Frame_Which_registerReply, m
}
func (m *Done) attach(f *frame) { f.Which = schema.Frame_Which_done }
