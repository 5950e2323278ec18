package escaper

import (
	"strconv"
	"strings"
	"unicode/utf8"
)

// prefix marks an escaped string, which continues as a Go string literal. No path, header value or id begins with it in practice.
const prefix = `quoted:"`

// Escape returns s as UTF-8 text. Valid text is returned as it is, also by processes that don't escape, so that programs of different
// versions compare and show it alike; only text that begins like an escaped string is escaped too.
func Escape(s string) string {
	if utf8.ValidString(s) && !strings.HasPrefix(s, prefix) {
		return s
	}
	return prefix[:len(prefix)-1] + strconv.Quote(s)
}

// Unescape returns the string that Escape was called with. Text that Escape has not returned is returned as it is.
func Unescape(s string) string {
	if !strings.HasPrefix(s, prefix) {
		return s
	}
	raw, err := strconv.Unquote(s[len(prefix)-1:])
	if err != nil {
		return s
	}
	return raw
}
