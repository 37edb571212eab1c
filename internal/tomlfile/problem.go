// Package tomlfile decodes TOML files strictly and reports every mistake with
// its line and key. Package manifest and package settings share it.
package tomlfile

import (
	"fmt"
	"sort"
	"strings"

	"github.com/go-faster/errors"
)

// MaxProblems is the number of mistakes that one report names.
const MaxProblems = 50

// Problem is one mistake in a file.
type Problem struct {
	Line int    `json:"line"` // from 1; 0 when the line is not known
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

// Error lists the mistakes of a file in the order of their lines.
type Error struct {
	Problems []Problem // at most MaxProblems
	Omitted  int       // mistakes that are not listed
}

// Error implements error with one mistake per line.
func (e *Error) Error() string { return e.format("") }

func (e *Error) format(prefix string) string {
	lines := make([]string, 0, len(e.Problems)+1)
	for _, p := range e.Problems {
		lines = append(lines, prefix+p.String())
	}
	if e.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("%sand %d more mistakes", prefix, e.Omitted))
	}
	return strings.Join(lines, "\n")
}

// Describe returns the text of err with "FILE:LINE: " before each mistake.
// Errors of other types are returned with the file name in front.
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
		lines = append(lines, fmt.Sprintf("%s: and %d more mistakes", file, e.Omitted))
	}
	return strings.Join(lines, "\n")
}

// In returns "FILE:LINE: KEY: TEXT".
func (p Problem) WithFile(file string) string {
	if p.Line > 0 {
		file = fmt.Sprintf("%s:%d", file, p.Line)
	}
	p.Line = 0
	return file + ": " + p.String()
}

// Problems collects mistakes.
type Problems struct {
	list []Problem
	more int
}

// keep bounds the memory of a report on a hostile file. Sorting needs more
// than MaxProblems entries so that the first lines of the file win.
const keep = 20 * MaxProblems

// Add adds one mistake.
func (p *Problems) Add(line int, key, format string, args ...any) {
	if len(p.list) >= keep {
		p.more++
		return
	}
	p.list = append(p.list, Problem{Line: line, Key: key, Text: fmt.Sprintf(format, args...)})
}

// Len returns the number of mistakes.
func (p *Problems) Len() int { return len(p.list) + p.more }

// Sorted returns the mistakes by line, then key, then text.
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

// Err returns an *Error, or nil when there is no mistake.
func (p *Problems) Err() error {
	if p.Len() == 0 {
		return nil
	}
	list, more := p.Sorted(), p.more
	if len(list) > MaxProblems {
		more += len(list) - MaxProblems
		list = list[:MaxProblems]
	}
	return &Error{Problems: list, Omitted: more}
}
