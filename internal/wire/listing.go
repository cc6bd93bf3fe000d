package wire

import (
	"capnproto.org/go/capnp/v3"

	"github.com/pathtally/pathtally/internal/wire/schema"
)

// Listings hold thousands of objects, so they are encoded field by field: package pogs would
// look up the fields of each object by name.

// EncodeListing encodes a listing as a separate Cap'n Proto message without a frame.
func EncodeListing(listing *Listing) ([]byte, error) {
	message, segment, err := capnp.NewMessage(capnp.SingleSegment(nil))
	if err != nil {
		return nil, &FrameError{Detail: "allocate listing", Cause: err}
	}
	root, err := schema.NewRootListing(segment)
	if err != nil {
		return nil, &FrameError{Detail: "allocate root of listing", Cause: err}
	}
	objects, err := root.NewObjects(int32(len(listing.Objects)))
	if err != nil {
		return nil, &FrameError{Detail: "allocate objects of listing", Cause: err}
	}
	for i := range listing.Objects {
		if err := listing.Objects[i].encode(objects.At(i)); err != nil {
			return nil, &FrameError{Detail: "insert into listing", Cause: err}
		}
	}
	encoded, err := message.MarshalPacked()
	if err != nil {
		return nil, &FrameError{Detail: "marshal listing", Cause: err}
	}
	return encoded, nil
}

// DecodeListing decodes a listing that EncodeListing has encoded.
func DecodeListing(encoded []byte) (*Listing, error) {
	message, err := capnp.UnmarshalPacked(encoded)
	if err != nil {
		return nil, &FrameError{Detail: "unmarshal listing", Cause: err}
	}
	message.TraverseLimit = max(message.TraverseLimit, listingTraverseLimit)
	root, err := schema.ReadRootListing(message)
	if err != nil {
		return nil, &FrameError{Detail: "root of listing", Cause: err}
	}
	objects, err := root.Objects()
	if err != nil {
		return nil, &FrameError{Detail: "objects of listing", Cause: err}
	}
	listing := &Listing{Objects: make([]ObjectChange, objects.Len())}
	for i := range listing.Objects {
		if err := listing.Objects[i].decode(objects.At(i)); err != nil {
			return nil, &FrameError{Detail: "extract from listing", Cause: err}
		}
	}
	return listing, nil
}

// listingTraverseLimit is the Cap'n Proto traversal limit, in bytes, for decoding a listing.
// The library's default is too small for the largest listings. The decoder reads each object
// once, so the greater limit does not let a small message cause much work.
const listingTraverseLimit = 512 << 20

func (o *ObjectChange) encode(to schema.ObjectChange) error {
	to.SetGone(o.Gone)
	to.SetDeleting(o.Deleting)
	to.SetRevision(o.Revision)
	if err := to.SetName(o.Name); err != nil {
		return err
	}
	if err := to.SetSpec(o.Spec); err != nil {
		return err
	}
	if o.Status == nil {
		return nil
	}
	return to.SetStatus(o.Status)
}

func (o *ObjectChange) decode(from schema.ObjectChange) (err error) {
	o.Gone, o.Deleting, o.Revision = from.Gone(), from.Deleting(), from.Revision()
	if o.Name, err = from.Name(); err != nil {
		return err
	}
	if o.Spec, err = from.Spec(); err != nil {
		return err
	}
	o.Status, err = from.Status()
	return err
}
