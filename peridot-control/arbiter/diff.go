package arbiter

import (
	"github.com/pmezard/go-difflib/difflib"
	"go.yaml.in/yaml/v3"
)

const (
	diffContextLines = 2
	maxDiffBytes     = 4 << 10
	// maxDiffLines is the length above which documents aren't compared, since the time of a diff grows with the square of the lines.
	maxDiffLines = 5_000
)

// diff returns a unified diff of the inventory and the rules.
func diff(from, to Configuration) string {
	text := unifiedDiff("inventory", from.Inventory, to.Inventory) + unifiedDiff("rules", from.Rules, to.Rules)
	if len(text) > maxDiffBytes {
		return text[:maxDiffBytes] + "\n(cut)\n"
	}
	return text
}

func unifiedDiff(name string, from, to []byte) string {
	a, b := difflib.SplitLines(string(from)), difflib.SplitLines(string(to))
	if string(from) == string(to) || len(a) > maxDiffLines || len(b) > maxDiffLines {
		return ""
	}
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{A: a, B: b, FromFile: name, ToFile: name, Context: diffContextLines})
	if err != nil {
		return ""
	}
	return text
}

// entryIDs lists the entry instances of an accepted inventory. It parses nothing but their ids, so that members running different
// builds get the same list.
func entryIDs(inventory []byte) (ids []string) {
	var inv struct {
		Entries []struct {
			InstanceID string `yaml:"instance-id"`
		} `yaml:"entries"`
	}
	if err := yaml.Unmarshal(inventory, &inv); err != nil {
		return nil
	}
	for _, e := range inv.Entries {
		ids = append(ids, e.InstanceID)
	}
	return ids
}
