package recordlog

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

func direct(call func()) { call() }

// fill writes records to a segment and waits until they are durable.
func fill(t *testing.T, folder string, records ...string) {
	t.Helper()
	log, err := OpenFileLog(folder, direct)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, len(records))
	for _, record := range records {
		log.Append("segment", []byte(record), func(err error) { done <- err })
	}
	for range records {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	log.Close()
}

func recovered(t *testing.T, folder string) []string {
	t.Helper()
	log, err := OpenFileLog(folder, direct)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	records, err := log.Recover()
	if err != nil {
		t.Fatal(err)
	}
	var texts []string
	for _, record := range records {
		texts = append(texts, string(record.Data))
	}
	return texts
}

// TestDamagedEndLosesOnlyTheLastRecord cuts the file at every length and flips
// every byte of the last record; what stands before must come back.
func TestDamagedEndLosesOnlyTheLastRecord(t *testing.T) {
	folder := t.TempDir()
	fill(t, folder, "first", "second", "third")
	path := filepath.Join(folder, "segment.log")
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	last := len(whole) - headerBytes - len("third")
	for position := last; position < len(whole); position++ {
		flipped := bytes.Clone(whole)
		flipped[position] ^= 0xff
		for name, damaged := range map[string][]byte{"cut": whole[:position], "flipped": flipped} {
			if err := os.WriteFile(path, damaged, 0o644); err != nil {
				t.Fatal(err)
			}
			if got := fmt.Sprint(recovered(t, folder)); got != "[first second]" {
				t.Fatalf("%s at %d: recovered %s", name, position, got)
			}
		}
	}
	fill(t, folder, "fourth")
	if got := fmt.Sprint(recovered(t, folder)); got != "[first second fourth]" {
		t.Errorf("after the damage and one more record: %s", got)
	}
}

func TestRemovedSegmentIsGone(t *testing.T) {
	folder := t.TempDir()
	fill(t, folder, "first")
	log, err := OpenFileLog(folder, direct)
	if err != nil {
		t.Fatal(err)
	}
	log.Remove("segment")
	log.Close()
	if got := recovered(t, folder); len(got) > 0 {
		t.Errorf("recovered %v", got)
	}
}

// TestAppendAfterCloseIsDropped is a duty that is still at work while its node
// closes; it must not bring the process down.
func TestAppendAfterCloseIsDropped(t *testing.T) {
	folder := t.TempDir()
	log, err := OpenFileLog(folder, direct)
	if err != nil {
		t.Fatal(err)
	}
	log.Close()
	log.Append("segment", []byte("late"), func(error) { t.Error("a late append was answered") })
	if got := recovered(t, folder); len(got) > 0 {
		t.Errorf("recovered %v", got)
	}
}
