// Package escaper makes arbitrary bytes safe for string fields of messages, which must hold UTF-8.
package escaper
