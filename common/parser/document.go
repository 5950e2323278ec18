package parser

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// MaxDocumentBytes is the maximum size of a document.
const MaxDocumentBytes = 1 << 20

// DocumentError lists the problems of an invalid document, each with its line if that is known.
type DocumentError struct {
	Document string
	Problems []string
}

// Error implements error.
func (e *DocumentError) Error() string {
	return e.Document + ": " + strings.Join(e.Problems, "; ")
}

// Configuration is a revision with its decoded documents.
type Configuration struct {
	Revision  uint64
	Inventory *Inventory
	Rules     *Rules
	// Routing is nil if there is no routing document, so that callers name the service.
	Routing *Routing
	Hash    string
}

// ParseConfiguration decodes both documents and validates them together.
func ParseConfiguration(revision uint64, inventory, rules []byte) (cfg *Configuration, err error) {
	inv, err := ParseInventory(inventory)
	if err != nil {
		return nil, err
	}
	r, err := ParseRules(rules, inv)
	if err != nil {
		return nil, err
	}
	return &Configuration{Revision: revision, Inventory: inv, Rules: r, Hash: Hash(inventory, rules, nil)}, nil
}

// Hash returns the hexadecimal SHA-256 hash of the documents. With an empty routing it is the hash of the other two.
func Hash(inventory, rules, routing []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d:", len(inventory))
	h.Write(inventory)
	h.Write(rules)
	if len(routing) > 0 {
		fmt.Fprintf(h, "%d:", len(rules))
		h.Write(routing)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// decode decodes a YAML document into v. It rejects unknown keys, a second document and oversized text.
func decode(document string, text []byte, v any) error {
	if len(text) > MaxDocumentBytes {
		return &DocumentError{document, []string{fmt.Sprintf("%d bytes, want up to %d", len(text), MaxDocumentBytes)}}
	}
	d := yaml.NewDecoder(bytes.NewReader(text))
	d.KnownFields(true)
	err := d.Decode(v)
	if err == io.EOF {
		return nil
	}
	if err != nil {
		return &DocumentError{document, yamlProblems(err)}
	}
	if err = d.Decode(&yaml.Node{}); err != io.EOF {
		return &DocumentError{document, []string{"more than one YAML document"}}
	}
	return nil
}

// CheckText returns an error if a document holds values that aren't text: YAML allows any bytes in base64, but names are sent between
// processes and shown as text. It is for new documents; those already in force are not refused.
func CheckText(document string, text []byte) error {
	var doc yaml.Node
	if yaml.Unmarshal(text, &doc) != nil {
		return nil
	}
	if line := binaryLine(&doc); line > 0 {
		return &DocumentError{document, []string{fmt.Sprintf("line %d: binary value, want text", line)}}
	}
	return nil
}

// binaryLine returns the line of the first binary value of a node, or 0 if it has none.
func binaryLine(n *yaml.Node) int {
	if n.Kind == yaml.ScalarNode && n.ShortTag() == "!!binary" {
		return n.Line
	}
	for _, c := range n.Content {
		if line := binaryLine(c); line > 0 {
			return line
		}
	}
	return 0
}

func yamlProblems(err error) []string {
	var e *yaml.TypeError
	if errors.As(err, &e) {
		return e.Errors
	}
	return []string{strings.TrimPrefix(err.Error(), "yaml: ")}
}

// checker collects the problems of a document, each with the line of the item being checked.
type checker struct {
	document string
	// lines maps the key of each list to the lines of its items.
	lines map[string][]int
	// line is the line of the item being checked; 0 if it is unknown.
	line     int
	problems []string
}

func newChecker(document string, text []byte) *checker {
	return &checker{document: document, lines: itemLines(text)}
}

// setItem sets the line of the following problems to that of item i of a list.
func (c *checker) setItem(list string, i int) {
	c.line = 0
	if lines := c.lines[list]; i < len(lines) {
		c.line = lines[i]
	}
}

// require adds a problem if ok is false.
func (c *checker) require(ok bool, format string, args ...any) {
	if ok {
		return
	}
	problem := fmt.Sprintf(format, args...)
	if c.line > 0 {
		problem = fmt.Sprintf("line %d: %s", c.line, problem)
	}
	c.problems = append(c.problems, problem)
}

// requireUnique requires that name is not empty and not in seen yet, and adds it to seen.
func (c *checker) requireUnique(kind, name string, seen map[string]bool) {
	c.require(name != "", "%s without a name", kind)
	c.require(!seen[name], "%s %q stands twice", kind, name)
	seen[name] = true
}

func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return &DocumentError{c.document, c.problems}
}

// itemLines maps each top-level key of a document to the lines of its list items. A key whose value is not a list has one item.
func itemLines(text []byte) map[string][]int {
	lines := make(map[string][]int)
	var doc yaml.Node
	if yaml.Unmarshal(text, &doc) != nil || len(doc.Content) == 0 {
		return lines
	}
	pairs := doc.Content[0].Content
	for i := 0; i+1 < len(pairs); i += 2 {
		key, value := pairs[i], pairs[i+1]
		if value.Kind != yaml.SequenceNode {
			lines[key.Value] = []int{key.Line}
			continue
		}
		for _, item := range value.Content {
			lines[key.Value] = append(lines[key.Value], item.Line)
		}
	}
	return lines
}
