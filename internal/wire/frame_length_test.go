package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"runtime"
	"testing"
)

// Guards against allocating the announced length of a frame that does not arrive.
func TestAnnouncedFrameIsNotAllocated(t *testing.T) {
	prefix := binary.BigEndian.AppendUint32(nil, MaxFrameBytes)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := Read(bytes.NewReader(append(prefix, 1)))
	runtime.ReadMemStats(&after)
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error %v, want io.ErrUnexpectedEOF", err)
	}
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > MaxFrameBytes/16 {
		t.Errorf("%d bytes allocated", allocated)
	}
}

// A frame of any length is read as it was written.
func TestFrameIsReadInSteps(t *testing.T) {
	for _, length := range []int{0, 1, readStepBytes - 1, readStepBytes, readStepBytes + 1, 3 * readStepBytes} {
		text := bytes.Repeat([]byte("x"), length)
		if body, err := readBody(bytes.NewReader(text), length); err != nil || !bytes.Equal(body, text) {
			t.Errorf("%d bytes: read %d, error %v", length, len(body), err)
		}
		if _, err := ReadAtMost(bytes.NewReader(binary.BigEndian.AppendUint32(nil, uint32(length+1))), uint32(length)); err == nil {
			t.Errorf("a frame over the limit of %d bytes was read", length)
		}
	}
}
