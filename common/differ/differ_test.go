package differ

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

func document(routes int, version string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%q,"resources":[`, version)
	for i := range routes {
		fmt.Fprintf(&b, `{"type":"routes","metadata":{"name":"r-%x"},"spec":{"host":"h%d.example","path_prefix":"/p%x/","kind":"safe","attempts":2}},`, i*7919, i%5, i*104729)
	}
	return []byte(b.String() + "{}]}")
}

func TestEncodeDecode(t *testing.T) {
	base := document(1440, "0000001d")
	tests := map[string]struct {
		from, to []byte
		// maxBytes is the maximum size of the delta.
		maxBytes int
	}{
		"both empty":                  {nil, nil, 16},
		"empty earlier text":          {nil, base, len(base) / 4},
		"identical":                   {base, base, 64},
		"changed version":             {base, document(1440, "0000001e"), 64},
		"route appended":              {base, document(1441, "0000001e"), 400},
		"route changed in the middle": {base, bytes.Replace(base, []byte("/p5cfa3d/"), []byte("/other/"), 1), 64},
		"first half removed":          {base, base[len(base)/2:], 64},
		"unrelated text":              {base, []byte("short"), 64},
		"empty new text":              {base, nil, 64},
		"shorter than a block":        {[]byte("a"), []byte("ab"), 64},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			delta := Encode(tt.from, tt.to)
			got, err := Decode(tt.from, delta)
			if err != nil || !bytes.Equal(got, tt.to) {
				t.Fatalf("Decode() = %d bytes, error %v; want the encoded text of %d bytes", len(got), err, len(tt.to))
			}
			if len(delta) > tt.maxBytes {
				t.Errorf("delta has %d bytes for a text of %d bytes, want at most %d", len(delta), len(tt.to), tt.maxBytes)
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("from"), Encode([]byte("from"), []byte("to")))
	f.Fuzz(func(_ *testing.T, from, delta []byte) { _, _ = Decode(from, delta) })
}

func FuzzEncode(f *testing.F) {
	f.Add(document(3, "1"), document(4, "2"))
	f.Fuzz(func(t *testing.T, from, to []byte) {
		if got, err := Decode(from, Encode(from, to)); err != nil || !bytes.Equal(got, to) {
			t.Fatalf("Decode() = %q, error %v; want %q", got, err, to)
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	from, to := document(1440, "0000001d"), document(1441, "0000001e")
	b.ReportAllocs()
	for b.Loop() {
		Encode(from, to)
	}
}
