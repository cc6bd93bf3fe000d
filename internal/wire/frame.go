package wire

import (
	"encoding/binary"
	"io"

	"capnproto.org/go/capnp/v3"
	"capnproto.org/go/capnp/v3/pogs"

	"github.com/pathtally/pathtally/internal/wire/schema"
)

// MaxFrameBytes bounds an encoded frame; a larger one is refused by both ends.
const MaxFrameBytes = 16 << 20

const lengthBytes = 4

// Frame is one message on a connection.
type Frame struct {
	Correlation uint64
	Reply       bool
	Deadline    int64
	Message     Message
}

// Encode returns the frame with its length prefix.
func Encode(f Frame) ([]byte, error) {
	message, segment, err := capnp.NewMessage(capnp.SingleSegment(nil))
	if err != nil {
		return nil, &FrameError{Detail: "allocate", Cause: err}
	}
	root, err := schema.NewRootFrame(segment)
	if err != nil {
		return nil, &FrameError{Detail: "allocate root", Cause: err}
	}
	if err := encodeInto(root, f); err != nil {
		return nil, err
	}
	body, err := message.MarshalPacked()
	if err != nil {
		return nil, &FrameError{Detail: "marshal", Cause: err}
	}
	if len(body) > MaxFrameBytes {
		return nil, &FrameError{Detail: "frame over the size bound"}
	}
	framed := make([]byte, lengthBytes, lengthBytes+len(body))
	binary.BigEndian.PutUint32(framed, uint32(len(body)))
	return append(framed, body...), nil
}

func encodeInto(root schema.Frame, f Frame) error {
	if report, isReport := f.Message.(*LoadReport); isReport {
		root.SetCorrelation(f.Correlation)
		root.SetReply(f.Reply)
		root.SetDeadline(f.Deadline)
		return encodeLoadReport(root, report)
	}
	flat := frame{Correlation: f.Correlation, Reply: f.Reply, Deadline: f.Deadline}
	f.Message.attach(&flat)
	if err := pogs.Insert(schema.Frame_TypeID, capnp.Struct(root), &flat); err != nil {
		return &FrameError{Detail: "insert", Cause: err}
	}
	return nil
}

// Decode reads a frame's body, without its length prefix.
func Decode(body []byte) (Frame, error) {
	message, err := capnp.UnmarshalPacked(body)
	if err != nil {
		return Frame{}, &FrameError{Detail: "unmarshal", Cause: err}
	}
	root, err := schema.ReadRootFrame(message)
	if err != nil {
		return Frame{}, &FrameError{Detail: "root", Cause: err}
	}
	if root.Which() == schema.Frame_Which_loadReport {
		report, err := decodeLoadReport(root)
		return Frame{Correlation: root.Correlation(), Reply: root.Reply(), Deadline: root.Deadline(), Message: report}, err
	}
	var flat frame
	if err := pogs.Extract(&flat, schema.Frame_TypeID, capnp.Struct(root)); err != nil {
		return Frame{}, &FrameError{Detail: "extract", Cause: err}
	}
	payload := flat.message()
	if payload == nil {
		return Frame{}, &FrameError{Detail: "no message"}
	}
	return Frame{Correlation: flat.Correlation, Reply: flat.Reply, Deadline: flat.Deadline, Message: payload}, nil
}

// Read reads one frame from a connection.
func Read(reader io.Reader) (Frame, error) {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(reader, prefix[:]); err != nil {
		return Frame{}, &FrameError{Detail: "length", Cause: err}
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length > MaxFrameBytes {
		return Frame{}, &FrameError{Detail: "frame over the size bound"}
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(reader, body); err != nil {
		return Frame{}, &FrameError{Detail: "body", Cause: err}
	}
	return Decode(body)
}
