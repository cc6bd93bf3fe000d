package ingress

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/iotest"

	"github.com/pathtally/pathtally/internal/callers/bytebudget"
)

// newRequest returns a request with a body and a Content-Length; a negative length means none.
func newRequest(body []byte, length int64) *http.Request {
	return &http.Request{Body: io.NopCloser(iotest.HalfReader(bytes.NewReader(body))), ContentLength: length}
}

func TestReadBody(t *testing.T) {
	small, large := bytes.Repeat([]byte("a"), 100), bytes.Repeat([]byte("b"), 300<<10)
	for _, test := range []struct {
		name    string
		body    []byte
		length  int64
		limit   int64
		budget  int64
		wantErr error
	}{
		{"small", small, 100, 1 << 20, 1 << 20, nil},
		{"empty", nil, 0, 1 << 20, 1 << 20, nil},
		{"large", large, 300 << 10, 1 << 20, 1 << 20, nil},
		{"chunked", large, -1, 1 << 20, 1 << 20, nil},
		{"no limits", large, -1, 0, 0, nil},
		{"exactly at the limit", small, -1, 100, 0, nil},
		{"Content-Length over the limit", small, 100, 99, 1 << 20, ErrBodyTooLarge},
		{"chunked, over the limit", large, -1, 200 << 10, 1 << 20, ErrBodyTooLarge},
		{"budget exhausted", large, 300 << 10, 1 << 20, 100 << 10, ErrBodyBudgetExhausted},
	} {
		t.Run(test.name, func(t *testing.T) {
			reader := bodyReader{budget: bytebudget.New(test.budget)}
			body, release, err := reader.read(newRequest(test.body, test.length), test.limit)
			if !errors.Is(err, test.wantErr) || (err == nil && !bytes.Equal(body, test.body)) {
				t.Errorf("read %d bytes, error %v", len(body), err)
			}
			release()
			if reserved := reader.budget.Used(); reserved != 0 {
				t.Errorf("%d bytes are still reserved after release", reserved)
			}
		})
	}
}

func TestReadBodyIncomplete(t *testing.T) {
	reader := bodyReader{}
	request := &http.Request{Body: io.NopCloser(io.MultiReader(bytes.NewReader([]byte("half")), iotest.ErrReader(io.ErrUnexpectedEOF))), ContentLength: 8}
	if _, _, err := reader.read(request, 0); !errors.Is(err, ErrBodyIncomplete) {
		t.Errorf("error %v, want ErrBodyIncomplete", err)
	}
}

// Guards against callers that exhaust the budget by a large Content-Length without sending data.
func TestReadBodyReservesAsDataArrives(t *testing.T) {
	reader := bodyReader{budget: bytebudget.New(1 << 20)}
	pipe, feed := io.Pipe()
	defer feed.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, release, _ := reader.read(&http.Request{Body: pipe, ContentLength: 900 << 10}, 1<<20)
		release()
	}()
	feed.Write([]byte("x"))
	if used := reader.budget.Used(); used > minBodyGrowthBytes {
		t.Errorf("%d bytes are reserved after one byte arrived", used)
	}
	feed.CloseWithError(io.ErrUnexpectedEOF)
	<-done
}
