package exchange

import (
	"errors"
	"strings"
	"testing"

	"github.com/pathtally/pathtally/standin/rawserver"
)

const (
	// uploadPlays is the number of uploads: what a read finds after a reset depends on whether a write
	// comes first.
	uploadPlays = 50
	// longUpload is more than the buffers of two sockets hold while the server does not read.
	longUpload = 16 << 20
)

// Guards against taking a response without a length that was reset during the upload for complete.
func TestResetDuringUploadIsBroken(t *testing.T) {
	address := rawserver.Start(t, rawserver.ResetAfter("HTTP/1.1 200 OK\r\n\r\npart"))
	upload := post(strings.Repeat("x", longUpload))
	complete := 0
	for range uploadPlays {
		_, err := roundTripBody(NewPool(nil), address, upload)
		var broken *BrokenError
		if !errors.As(err, &broken) {
			complete++
		}
	}
	if complete > 0 {
		t.Errorf("%d of %d responses look complete", complete, uploadPlays)
	}
}

// A response without a length whose replica ends its side in order is complete and does not wait for
// the upload.
func TestOrderlyEndDuringUploadIsComplete(t *testing.T) {
	address := rawserver.Start(t, rawserver.EndAfter(t, "HTTP/1.1 200 OK\r\n\r\nwhole"))
	body, err := roundTripBody(NewPool(nil), address, post(strings.Repeat("x", longUpload)))
	if body != "whole" || err != nil {
		t.Errorf("body %q, error %v", body, err)
	}
}
