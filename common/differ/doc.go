// Package differ implements delta encoding: it encodes a text relative to an earlier one, for links with little bandwidth compared
// with the size of the text.
package differ
