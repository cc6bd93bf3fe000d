package wire

import (
	"encoding/binary"
	"io"
	"time"

	"capnproto.org/go/capnp/v3"

	"github.com/pathtally/pathtally/internal/wire/schema"
)

// MaxFrameBytes is the maximum size of a frame's body. Encode and Read both enforce it.
const MaxFrameBytes = 16 << 20

// lengthBytes is the size of the big-endian length prefix.
const lengthBytes = 4

// Frame is one message on a connection with its envelope.
type Frame struct {
	Correlation uint64
	Reply       bool
	// Timeout is how long the receiver has for its reply, counted from the frame's arrival;
	// 0 means no timeout. It is relative because the clocks of nodes are not synchronized.
	Timeout time.Duration
	Message Message
	// Bytes is the encoded size of a received frame, length prefix included.
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
		return nil, &FrameError{Detail: "frame exceeds the size limit"}
	}
	framed := make([]byte, lengthBytes, lengthBytes+len(body))
	binary.BigEndian.PutUint32(framed, uint32(len(body)))
	return append(framed, body...), nil
}

// Decode decodes a frame's body, which excludes the length prefix.
func Decode(body []byte) (Frame, error) {
	message, err := capnp.UnmarshalPacked(body)
	if err != nil {
		return Frame{}, &FrameError{Detail: "unmarshal", Cause: err}
	}
	root, err := schema.ReadRootFrame(message)
	if err != nil {
		return Frame{}, &FrameError{Detail: "read root", Cause: err}
	}
	content, err := decodeMessage(root)
	if err != nil {
		return Frame{}, err
	}
	return Frame{Correlation: root.Correlation(), Reply: root.Reply(), Timeout: time.Duration(root.Patience()), Message: content}, nil
}

// readStepBytes is how much memory is allocated at once for the body of a frame that has not arrived.
const readStepBytes = 64 << 10

// Read reads and decodes one frame.
func Read(reader io.Reader) (Frame, error) { return ReadAtMost(reader, MaxFrameBytes) }

// ReadAtMost reads and decodes one frame whose body has at most the given size.
func ReadAtMost(reader io.Reader, maxBytes uint32) (Frame, error) {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(reader, prefix[:]); err != nil {
		return Frame{}, &FrameError{Detail: "read length prefix", Cause: err}
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length > maxBytes {
		return Frame{}, &FrameError{Detail: "frame exceeds the size limit"}
	}
	body, err := readBody(reader, int(length))
	if err != nil {
		return Frame{}, &FrameError{Detail: "read body", Cause: err}
	}
	frame, err := Decode(body)
	frame.Bytes = lengthBytes + len(body)
	return frame, err
}

// readBody reads a body of the given length. Its buffer grows as the body arrives.
func readBody(reader io.Reader, length int) ([]byte, error) {
	body := make([]byte, 0, min(length, readStepBytes))
	for {
		read, err := io.ReadFull(reader, body[len(body):cap(body)])
		body = body[:len(body)+read]
		if err != nil || len(body) == length {
			return body, err
		}
		body = append(make([]byte, 0, min(length, 2*cap(body))), body...)
	}
}
