package wire

import (
	"encoding/binary"
	"io"
	"time"

	"capnproto.org/go/capnp/v3"

	"github.com/pathtally/pathtally/internal/wire/schema"
)

// MaxFrameBytes bounds an encoded frame; a larger one is refused by both ends.
const MaxFrameBytes = 16 << 20

const lengthBytes = 4

// Frame is one message on a connection.
type Frame struct {
	Correlation uint64
	Reply       bool
	// Timeout bounds the wait for an answer, counted from the frame's arrival; 0 for no
	// bound. It is a duration and no instant, since the clocks of nodes disagree.
	Timeout time.Duration
	Message Message
	// Bytes is the size of a frame that was read.
	Bytes int
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
	root.SetCorrelation(f.Correlation)
	root.SetReply(f.Reply)
	root.SetPatience(int64(f.Timeout))
	if err := f.Message.attach(root); err != nil {
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
	content, err := payload(root)
	if err != nil {
		return Frame{}, err
	}
	return Frame{Correlation: root.Correlation(), Reply: root.Reply(), Timeout: time.Duration(root.Patience()), Message: content}, nil
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
	frame, err := Decode(body)
	frame.Bytes = lengthBytes + len(body)
	return frame, err
}
