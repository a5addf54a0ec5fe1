package tables

import (
	"fmt"
	"strings"
)

// Problem is a violation of a validation rule. Path is the dotted path of the field.
type Problem struct {
	Path string `json:"path"`
	Rule string `json:"rule"`
	Line int    `json:"line,omitempty"` // 0 if the document was not parsed from text
}

// String formats the problem on one line.
func (p Problem) String() string {
	if p.Line > 0 {
		return fmt.Sprintf("line %d: %s: %s", p.Line, p.Path, p.Rule)
	}
	return p.Path + ": " + p.Rule
}

// Problems is a list of violations. It implements error, but an empty list means that
// there are none: check its length, not whether it is nil.
type Problems []Problem

// Error formats the problems, one per line.
func (p Problems) Error() string {
	texts := make([]string, len(p))
	for i, problem := range p {
		texts[i] = problem.String()
	}
	return strings.Join(texts, "\n")
}

func (p *Problems) add(path, format string, args ...any) {
	*p = append(*p, Problem{Path: path, Rule: fmt.Sprintf(format, args...)})
}
