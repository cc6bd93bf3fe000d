package enginemodel

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the length of each token that the emulator writes.
const BytesPerToken = 5

const tokenMask = 0xffff

// PromptTokens is the emulator's token count of a text.
func PromptTokens(prompt string) int { return (len(prompt) + BytesPerToken - 1) / BytesPerToken }

// Text returns tokens of the one right answer to a prompt, so that whoever
// receives an answer can tell whether it is whole and its own.
func Text(prompt string, first, count int) string {
	seed := xxhash.Sum64String(prompt)
	var builder strings.Builder
	builder.Grow(count * BytesPerToken)
	for i := first; i < first+count; i++ {
		token := xxhash.Sum64String(strconv.FormatUint(seed, 16)+":"+strconv.Itoa(i)) & tokenMask
		digits := strconv.FormatUint(token, 16)
		builder.WriteString("0000"[len(digits):])
		builder.WriteString(digits)
		builder.WriteByte(' ')
	}
	return builder.String()
}
