package wire

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// newBuild makes the test write the frames of a new build to testdata/builds first:
// go test ./internal/wire -run EarlierBuilds -wire.build NAME
var newBuild = flag.String("wire.build", "", "name of the build whose frames are written to testdata/builds")

// goldenMessages returns one frame for each message that nodes of different builds exchange,
// with the fields of the oldest supported build set.
func goldenMessages() []Frame {
	return []Frame{
		{Message: &Hello{Protocol: ProtocolVersion, Node: "n", Address: "a:1", Incarnation: 7}},
		{Message: &Failure{Code: 1, Detail: "unknown message"}},
		{Message: &NodeBeat{
			Node: "n", Address: "a:1", Zone: "z", Incarnation: 7, Jobs: []string{"j"}, Uses: []ReplicaUse{{Replica: "r", Running: 2, IntervalUs: 48000}},
			Versions: []ReplicaVersion{{Replica: "r", Model: "m", Version: 4, Loading: true}}, Lease: 9, Peers: []PeerAddress{{Node: "o", Address: "a:2", Zone: "y"}},
			Leaving: true, Ended: []string{"e"}, Tolerances: []ModelTolerance{{Model: "m", Versions: 1}}, LeaseHolder: "n", LeaseSeen: 9, LeaseReleased: true,
			Capacity: 192, UsageDone: 5, Lengths: []ItemLength{{Item: "i", Events: 12, Whole: true}},
			Work: []JobWork{{Job: "j", Model: "m", ExpectedTokens: 900, Tenant: "t", Epoch: 2, Open: 3, Routes: []string{"r"}, Entry: "g"}},
		}},
		{Correlation: 1, Timeout: 5, Message: &WatchPoll{Kinds: []KindRevision{{Kind: "k", Revision: 5}}, WaitMs: 400, Direct: true}},
		{Correlation: 1, Reply: true, Message: &WatchNews{Standing: uint8(ReaderStarting), Through: "a:3", Kinds: []KindNews{{
			Kind: "k", Revision: 6, Whole: true, AfterOutage: true, Changes: []ObjectChange{{Name: "n", Deleting: true, Revision: 6, Spec: []byte("{}"), Status: []byte("1")}, {Name: "o", Gone: true}},
		}}}},
		{Correlation: 2, Message: &JobOffer{Job: "j"}},
		{Correlation: 3, Message: &JobSubmit{Job: "j", Route: "r", Host: "h", Payload: []byte("{}"), Tenant: "t", Entry: "g"}},
		{Correlation: 3, Reply: true, Message: &JobSubmitted{Outcome: OutcomeNotRun, Detail: "d"}},
		{Correlation: 4, Message: &JobRead{Job: "j", After: 3, WaitMs: 500}},
		{Correlation: 4, Reply: true, Message: &JobPage{Known: true, Total: 8, Results: []byte("[]")}},
		{Correlation: 5, Message: &JobItem{Job: "j", Item: "i"}},
		{Correlation: 5, Reply: true, Message: &JobItemBody{Known: true, Found: true, Body: []byte("b")}},
		{Correlation: 6, Message: &JobEnd{Job: "j"}},
		{Correlation: 7, Message: &StoreCall{Verb: uint8(StoreReplace), Kind: "k", Name: "n", Revision: 4, Content: []byte("{}"), MayBeStale: true}},
		{Correlation: 7, Reply: true, Message: &StoreReply{Outcome: uint8(StoreConflict), Status: 429, More: true, At: 9, Objects: []ObjectChange{{Name: "n"}}}},
		{Message: &CrashReport{Fingerprint: []byte{1, 2}, Ends: []ReplicaEnd{{Replica: "r", AgoMs: 7}}, Served: true}},
		{Message: &Done{}},
	}
}

// goldenFrame is a frame as encoded by some build.
type goldenFrame struct {
	Message string
	Frame   []byte
}

// A field that changes its position or meaning breaks deployments that run several builds.
// Each file in testdata/builds holds goldenMessages as one released build encodes them.
func TestDecodeFramesOfEarlierBuilds(t *testing.T) {
	if *newBuild != "" {
		writeFrames(t, "testdata/builds/"+*newBuild+".json")
	}
	files, err := filepath.Glob("testdata/builds/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no golden frames in testdata/builds: %v", err)
	}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var golden []goldenFrame
		if err := json.Unmarshal(content, &golden); err != nil {
			t.Fatal(err)
		}
		wanted := goldenMessages()
		if len(golden) != len(wanted) {
			t.Fatalf("%s has %d frames, want %d", file, len(golden), len(wanted))
		}
		for i, want := range wanted {
			got, err := Decode(golden[i].Frame[lengthBytes:])
			if err != nil {
				t.Errorf("%s: %s: %v", file, golden[i].Message, err)
				continue
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("%s: %s decodes as %+v, want %+v", file, golden[i].Message, got.Message, want.Message)
			}
		}
	}
}

// writeFrames writes goldenMessages as this build encodes them.
func writeFrames(t *testing.T, file string) {
	t.Helper()
	var golden []goldenFrame
	for _, frame := range goldenMessages() {
		encoded, err := Encode(frame)
		if err != nil {
			t.Fatal(err)
		}
		golden = append(golden, goldenFrame{Message: reflect.TypeOf(frame.Message).Elem().Name(), Frame: encoded})
	}
	content, err := json.MarshalIndent(golden, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, append(content, '\n'), 0o644); err != nil {
		t.Fatal(err)
	}
}
