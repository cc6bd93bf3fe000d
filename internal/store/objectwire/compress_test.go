package objectwire

import (
	"fmt"
	"testing"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

func replicaEntries(count int) []objectstore.Object {
	objects := make([]objectstore.Object, count)
	for i := range objects {
		spec := fmt.Sprintf(`{"service":"route-model","address":"10.9.%d.%d:7000","zone":"akl-ponsonby","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"seq":%d,"born":1774109622545}`, i>>8, i&255, i*7)
		objects[i] = objectstore.Object{Name: fmt.Sprintf("i-%010x", i*2654435761), Revision: uint64(i + 1), Spec: []byte(spec)}
	}
	return objects
}

func TestCompressRoundTrip(t *testing.T) {
	want := replicaEntries(300)
	want[7].Status, want[8].Deleting = []byte(`{"ok":true}`), true
	compressed, err := Compress(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decompress(compressed)
	if err != nil || len(got) != len(want) {
		t.Fatalf("got %d of %d objects, error %v", len(got), len(want), err)
	}
	for i := range want {
		if fmt.Sprint(got[i]) != fmt.Sprint(want[i]) {
			t.Fatalf("object %d is %v, want %v", i, got[i], want[i])
		}
	}
}

func TestDecompressRejectsCorruptListing(t *testing.T) {
	compressed, err := Compress(replicaEntries(300))
	if err != nil {
		t.Fatal(err)
	}
	for _, corrupt := range [][]byte{nil, {1, 2, 3}, compressed[:len(compressed)/2]} {
		if _, err := Decompress(corrupt); err == nil {
			t.Errorf("%d corrupt bytes were decoded without an error", len(corrupt))
		}
	}
}

func BenchmarkCompress10kReplicas(b *testing.B) {
	objects := replicaEntries(10000)
	size := 0
	for b.Loop() {
		compressed, err := Compress(objects)
		if err != nil {
			b.Fatal(err)
		}
		size = len(compressed)
	}
	b.ReportMetric(float64(size)/1000, "kB")
}

func BenchmarkDecompress10kReplicas(b *testing.B) {
	compressed, err := Compress(replicaEntries(10000))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := Decompress(compressed); err != nil {
			b.Fatal(err)
		}
	}
}
