package objectwire

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
)

// maxListingBytes bounds the decompressed size of a listing in bytes. It suffices for
// several hundred thousand replicas; a larger listing is treated as corrupt.
const maxListingBytes = 256 << 20

// ListingError reports a listing or changes that can't be compressed or decompressed.
type ListingError struct {
	Detail string
	Cause  error
}

// Error implements error.
func (e *ListingError) Error() string {
	return fmt.Sprintf("compressed listing: %s: %v", e.Detail, e.Cause)
}

// Unwrap returns the cause.
func (e *ListingError) Unwrap() error { return e.Cause }

// Compress compresses a listing. It returns a *ListingError if it fails.
func Compress(objects []objectstore.Object) ([]byte, error) { return compress(EncodeAll(objects)) }

// CompressChanges compresses changes. It returns a *ListingError if it fails.
func CompressChanges(changes []objectstore.Change) ([]byte, error) {
	return compress(EncodeChanges(changes))
}

func compress(objects []wire.ObjectChange) ([]byte, error) {
	encoded, err := wire.EncodeListing(&wire.Listing{Objects: objects})
	if err != nil {
		return nil, &ListingError{Detail: "encode", Cause: err}
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, &ListingError{Detail: "compress", Cause: err}
	}
	if _, err := writer.Write(encoded); err != nil {
		return nil, &ListingError{Detail: "compress", Cause: err}
	}
	if err := writer.Close(); err != nil {
		return nil, &ListingError{Detail: "compress", Cause: err}
	}
	return compressed.Bytes(), nil
}

// Decompress decompresses a listing. It returns a *ListingError if it fails.
func Decompress(compressed []byte) ([]objectstore.Object, error) {
	encoded, err := decompress(compressed)
	return DecodeAll(encoded), err
}

// DecompressChanges decompresses changes. It returns a *ListingError if it fails.
func DecompressChanges(compressed []byte) ([]objectstore.Change, error) {
	encoded, err := decompress(compressed)
	return DecodeChanges(encoded), err
}

func decompress(compressed []byte) ([]wire.ObjectChange, error) {
	reader := flate.NewReader(bytes.NewReader(compressed))
	encoded, err := io.ReadAll(io.LimitReader(reader, maxListingBytes))
	if err != nil {
		return nil, &ListingError{Detail: "decompress", Cause: err}
	}
	listing, err := wire.DecodeListing(encoded)
	if err != nil {
		return nil, &ListingError{Detail: "decode", Cause: err}
	}
	return listing.Objects, nil
}
