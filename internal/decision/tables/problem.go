package tables

import (
	"fmt"
	"strings"
)

// Problem is one broken rule with the path of the field.
type Problem struct {
	Path string `json:"path"`
	Rule string `json:"rule"`
	Line int    `json:"line,omitempty"` // 0 where the text isn't at hand
}

// String gives path, rule and line.
func (p Problem) String() string {
	if p.Line > 0 {
		return fmt.Sprintf("line %d: %s: %s", p.Line, p.Path, p.Rule)
	}
	return p.Path + ": " + p.Rule
}

// Problems is a list of broken rules; it is an error when not empty.
type Problems []Problem

// Error lists all problems, one a line.
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
