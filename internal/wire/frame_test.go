package wire

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
)

func sampleFrames() []Frame {
	member := Member{ID: "node-1", Address: "127.0.0.1:1", HTTP: "127.0.0.1:2", Zone: "a", Region: "r", Incarnation: 7, Sequence: 2, State: MemberLeaving, Storage: true}
	records := Records{Members: []Member{member}, Leases: []LeaseNote{{Name: "reader", Holder: "node-1", Token: 3}}}
	return []Frame{
		{Correlation: 1, Timeout: 5, Message: &Ping{Target: "x", Summary: 9, Records: records, Documents: []DocumentVersion{{Name: "configuration", Version: 4}}}},
		{Correlation: 1, Reply: true, Message: &Ack{Summary: 8, Records: Records{}}},
		{Message: &DocumentReply{Name: "d", Version: 3, Base: 2, Upserts: []Entry{{Key: "k", Data: []byte("v")}}, Removed: []string{"gone"}, Digest: 11}},
		{Message: &ClaimSnapshot{Epoch: 2, Records: []ClaimRecord{{Key: "k", Attempt: "a", Answer: []byte{1}, Withdrawn: []string{"b"}}}}},
		{Message: &LoadReport{Loads: []EngineLoad{{Engine: "e", Running: 1, Version: -2, Flags: EngineHealthy}}}},
		{Correlation: 2, Timeout: 7, Message: &WatchPoll{Kinds: []KindRevision{{Kind: "k", Revision: 5}}, WaitMs: 500, Direct: true}},
		{Correlation: 2, Reply: true, Message: &WatchNews{Standing: uint8(ReaderLeaving), Kinds: []KindNews{{
			Kind: "k", Revision: 6, Whole: true, AfterOutage: true, Changes: []ObjectChange{{Name: "n", Deleting: true, Revision: 6, Spec: []byte("{}"), Status: []byte("1")}, {Name: "o", Gone: true}},
		}}}},
		{Correlation: 3, Message: &StoreCall{Verb: uint8(StoreReplace), Kind: "k", Name: "n", Revision: 4, Content: []byte("{}"), MayBeStale: true}},
		{Correlation: 3, Reply: true, Message: &StoreReply{Outcome: uint8(StoreConflict), Status: 429, More: true, At: 9, Objects: []ObjectChange{{Name: "n"}}}},
		{Correlation: 4, Message: &UsagePush{Node: "n", Incarnation: 2, UnixMs: 3, Windows: []UsageWindow{{Number: 4, Counts: []TenantCount{{Tenant: "t", Count: 5}}}}}},
		{Correlation: 4, Reply: true, Message: &UsageTaken{UnixMs: 6}},
		{Correlation: 5, Message: &JobSubmit{Job: "j", Route: "r", Host: "h", Payload: []byte("{}"), Tenant: "t"}},
		{Message: &JobFind{Job: "j"}},
		{Reply: true, Message: &JobFound{Known: true, Owner: PeerAddress{Node: "n", Address: "a", Incarnation: 3}, Epoch: 2, Tenant: "t", TenantKnown: true}},
		{Message: &CrashReport{Fingerprint: []byte{1, 2}, Ends: []ReplicaEnd{{Replica: "r", AgoMs: 7}}, Served: true}},
		{Message: &Done{}},
	}
}

func TestFrameRoundTrip(t *testing.T) {
	for _, want := range sampleFrames() {
		encoded, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Read(bytes.NewReader(encoded))
		if err != nil {
			t.Fatal(err)
		}
		again, err := Encode(got)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(encoded, again) || reflect.TypeOf(got.Message) != reflect.TypeOf(want.Message) {
			t.Errorf("round trip changed %+v into %+v", want, got)
		}
	}
}

func TestReadOversizedFrame(t *testing.T) {
	_, err := Read(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff}))
	var frameError *FrameError
	if !errors.As(err, &frameError) {
		t.Fatalf("Read of an oversized frame returned %v, want a *FrameError", err)
	}
	if want := "bad frame: frame exceeds the size limit"; frameError.Error() != want {
		t.Errorf("error %q, want %q", frameError, want)
	}
}

// FuzzDecode checks that no input makes Decode panic and that every decoded frame can be
// encoded again.
func FuzzDecode(f *testing.F) {
	for _, frame := range sampleFrames() {
		encoded, err := Encode(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded[lengthBytes:])
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		frame, err := Decode(body)
		if err != nil {
			return
		}
		if _, err := Encode(frame); err != nil {
			t.Errorf("decoded frame cannot be encoded: %v", err)
		}
	})
}

func BenchmarkClaimRequest(b *testing.B) {
	frame := Frame{Correlation: 1, Message: &ClaimRequest{Epoch: 3, Key: "booking-app/job-17", Attempt: "node-1-abc-17", Fingerprint: 99}}
	for b.Loop() {
		encoded, err := Encode(frame)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := Decode(encoded[lengthBytes:]); err != nil {
			b.Fatal(err)
		}
	}
}
