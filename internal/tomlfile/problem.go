// Package tomlfile decodes TOML files strictly and reports every problem with its
// line and key. Packages manifest and settings use it to decode their files and to
// collect the problems of their own checks.
package tomlfile

import (
	"fmt"
	"sort"
	"strings"

	"github.com/go-faster/errors"
)

// MaxProblems is the maximum number of problems listed in one Error.
const MaxProblems = 50

// Problem is one error or warning about a file.
type Problem struct {
	Line int    `json:"line"` // from 1; 0 if the line is unknown
	Key  string `json:"key"`  // path such as services[0].name; may be empty
	Text string `json:"text"`
}

// String returns "line 7: services[0].name: text".
func (p Problem) String() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", p.Line)
	}
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Text)
	return b.String()
}

// Error lists the problems of a file in the order of their lines.
type Error struct {
	Problems []Problem // at most MaxProblems
	Omitted  int       // number of problems that are not listed
}

// Error implements error. The text has one problem per line.
func (e *Error) Error() string { return e.format("") }

func (e *Error) format(prefix string) string {
	lines := make([]string, 0, len(e.Problems)+1)
	for _, p := range e.Problems {
		lines = append(lines, prefix+p.String())
	}
	if e.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("%sand %d more errors", prefix, e.Omitted))
	}
	return strings.Join(lines, "\n")
}

// Describe returns the text of err with the prefix "FILE:LINE: " before each
// problem. The text of errors of other types gets the prefix "FILE: ".
func Describe(file string, err error) string {
	e, ok := errors.Into[*Error](err)
	if !ok {
		return file + ": " + err.Error()
	}
	lines := make([]string, 0, len(e.Problems)+1)
	for _, p := range e.Problems {
		lines = append(lines, p.WithFile(file))
	}
	if e.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("%s: and %d more errors", file, e.Omitted))
	}
	return strings.Join(lines, "\n")
}

// WithFile returns "FILE:LINE: KEY: TEXT".
func (p Problem) WithFile(file string) string {
	if p.Line > 0 {
		file = fmt.Sprintf("%s:%d", file, p.Line)
	}
	p.Line = 0
	return file + ": " + p.String()
}

// Problems collects the problems of a file.
type Problems struct {
	list    []Problem
	omitted int
}

// maxCollected bounds the memory used for a malicious file. It is larger than
// MaxProblems, so that after sorting the listed problems are those of the first
// lines of the file.
const maxCollected = 20 * MaxProblems

// Add adds one problem. Beyond maxCollected, problems are only counted.
func (p *Problems) Add(line int, key, format string, args ...any) {
	if len(p.list) >= maxCollected {
		p.omitted++
		return
	}
	p.list = append(p.list, Problem{Line: line, Key: key, Text: fmt.Sprintf(format, args...)})
}

// Len returns the number of problems added.
func (p *Problems) Len() int { return len(p.list) + p.omitted }

// Sorted returns the collected problems by line, then key, then text.
func (p *Problems) Sorted() []Problem {
	sort.SliceStable(p.list, func(i, j int) bool {
		a, b := p.list[i], p.list[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		if a.Key != b.Key {
			return a.Key < b.Key
		}
		return a.Text < b.Text
	})
	return p.list
}

// Err returns an *Error, or nil if there are no problems.
func (p *Problems) Err() error {
	if p.Len() == 0 {
		return nil
	}
	list, omitted := p.Sorted(), p.omitted
	if len(list) > MaxProblems {
		omitted += len(list) - MaxProblems
		list = list[:MaxProblems]
	}
	return &Error{Problems: list, Omitted: omitted}
}
