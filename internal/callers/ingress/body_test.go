package ingress

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/iotest"
)

// sent is a request whose body has a length, or none when it is negative.
func sent(body []byte, length int64) *http.Request {
	return &http.Request{Body: io.NopCloser(iotest.HalfReader(bytes.NewReader(body))), ContentLength: length}
}

func TestBodies(t *testing.T) {
	small, large := bytes.Repeat([]byte("a"), 100), bytes.Repeat([]byte("b"), 300<<10)
	for _, test := range []struct {
		name    string
		body    []byte
		length  int64
		limit   int64
		budget  int64
		failure error
	}{
		{"small", small, 100, 1 << 20, 1 << 20, nil},
		{"empty", nil, 0, 1 << 20, 1 << 20, nil},
		{"large", large, 300 << 10, 1 << 20, 1 << 20, nil},
		{"in chunks", large, -1, 1 << 20, 1 << 20, nil},
		{"no bounds", large, -1, 0, 0, nil},
		{"just at the limit", small, -1, 100, 0, nil},
		{"announced over the limit", small, 100, 99, 1 << 20, ErrBodyTooLarge},
		{"in chunks over the limit", large, -1, 200 << 10, 1 << 20, ErrBodyTooLarge},
		{"no room", large, 300 << 10, 1 << 20, 100 << 10, ErrNoRoom},
	} {
		t.Run(test.name, func(t *testing.T) {
			reader := bodyReader{budget: budget{limit: test.budget}}
			body, release, err := reader.read(sent(test.body, test.length), test.limit)
			if !errors.Is(err, test.failure) || (err == nil && !bytes.Equal(body, test.body)) {
				t.Errorf("%d bytes, %v", len(body), err)
			}
			release()
			if left := reader.budget.used.Load(); left != 0 {
				t.Errorf("%d bytes are still set aside", left)
			}
		})
	}
}

func TestBrokenBody(t *testing.T) {
	reader := bodyReader{}
	request := &http.Request{Body: io.NopCloser(io.MultiReader(bytes.NewReader([]byte("half")), iotest.ErrReader(io.ErrUnexpectedEOF))), ContentLength: 8}
	if _, _, err := reader.read(request, 0); !errors.Is(err, ErrBodyBroken) {
		t.Errorf("%v", err)
	}
}

// A caller that announces a large body and sends nothing takes no memory.
func TestAnnouncedBodyTakesNoRoom(t *testing.T) {
	reader := bodyReader{budget: budget{limit: 1 << 20}}
	pipe, feed := io.Pipe()
	defer feed.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, release, _ := reader.read(&http.Request{Body: pipe, ContentLength: 900 << 10}, 1<<20)
		release()
	}()
	feed.Write([]byte("x"))
	if used := reader.budget.used.Load(); used > minBodyStepBytes {
		t.Errorf("%d bytes are set aside for one byte", used)
	}
	feed.CloseWithError(io.ErrUnexpectedEOF)
	<-done
}
