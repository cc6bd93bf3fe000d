package objectwire

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
)

// mostListingBytes bounds a listing once it is decompressed: some hundred thousand
// replicas. What claims to be larger is damaged.
const maxListingBytes = 256 << 20

// ListingError is a compressed listing that cannot be made or read.
type ListingError struct {
	Detail string
	Cause  error
}

// Error names the step and the cause.
func (e *ListingError) Error() string {
	return fmt.Sprintf("compressed listing: %s: %v", e.Detail, e.Cause)
}

// Unwrap returns the cause.
func (e *ListingError) Unwrap() error { return e.Cause }

// Compress is a listing as compressed bytes. Entries of replicas are alike, so that
// they take a small part of the room.
func Compress(objects []objectstore.Object) ([]byte, error) { return compress(EncodeAll(objects)) }

// CompressChanges is a series of changes as compressed bytes.
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

// Decompress reads a compressed listing.
func Decompress(compressed []byte) ([]objectstore.Object, error) {
	encoded, err := decompress(compressed)
	return DecodeAll(encoded), err
}

// DecompressChanges reads a compressed series of changes.
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
