package httpconn

import "strings"

const (
	space      = 0x20
	deleteChar = 0x7f
	// separators are the printable ASCII characters that a token must not contain.
	separators = "\"(),/:;<=>?@[\\]{}"
)

// IsToken reports whether a text is a token (RFC 9110, section 5.6.2), as methods and field names are.
func IsToken(text string) bool {
	for i := range len(text) {
		if char := text[i]; char <= space || char >= deleteChar || strings.IndexByte(separators, char) >= 0 {
			return false
		}
	}
	return text != ""
}
