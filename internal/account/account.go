// Package account compares the configuration of the setup being replaced with a
// manifest, line by line, so that no rule is lost on the way.
package account

import (
	"bytes"
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"github.com/anvilfront/anvilfront/internal/manifest"
)

// Line is one non-blank line of the old file.
type Line struct {
	Number  int      `json:"number"` // from 1
	Text    string   `json:"text"`
	Rules   []string `json:"rules,omitempty"`   // such as "route orders" or "alert shed"
	Dropped string   `json:"dropped,omitempty"` // reason, when left out on purpose
}

// Carried reports whether the manifest accounts for the line.
func (l *Line) AccountedFor() bool { return len(l.Rules) > 0 || l.Dropped != "" }

// Report is the account of one old file.
type Report struct {
	File        string   `json:"file"`
	Lines       []Line   `json:"lines"`
	Unaccounted int      `json:"missing"`            // lines that the manifest does not account for
	Mistakes    []string `json:"mistakes,omitempty"` // sources that point to no line
}

// OK reports whether every line is accounted for and every source is right.
func (r *Report) OK() bool { return r.Unaccounted == 0 && len(r.Mistakes) == 0 }

// Compare accounts for the old file at path with content old. A source of the
// manifest belongs to the file when it names path as given or its base name;
// sources of other files are ignored. Every line that is not blank counts, also
// a comment, because only people can tell whether a comment matters.
func Compare(m *manifest.Manifest, path string, old []byte) *Report {
	r := &Report{File: path}
	byNumber := map[int]int{}
	for i, text := range bytes.Split(old, []byte("\n")) {
		line := strings.TrimRight(string(text), "\r")
		if strings.TrimSpace(line) == "" {
			continue
		}
		byNumber[i+1] = len(r.Lines)
		r.Lines = append(r.Lines, Line{Number: i + 1, Text: line})
	}
	find := func(what, source string) *Line {
		file, number, ok := manifest.Source(source)
		if !ok || file != path && file != filepath.Base(path) {
			return nil
		}
		i, ok := byNumber[number]
		if !ok {
			r.Mistakes = append(r.Mistakes, fmt.Sprintf("%s: source %s is not a line of %s, or a blank one", what, source, path))
			return nil
		}
		return &r.Lines[i]
	}
	for i := range m.File.Routes {
		rule := "route " + m.File.Routes[i].Name
		if l := find(rule, m.File.Routes[i].Source); l != nil {
			l.Rules = append(l.Rules, rule)
		}
	}
	for i := range m.File.Alerts {
		rule := "alert " + m.File.Alerts[i].Name
		if l := find(rule, m.File.Alerts[i].Source); l != nil {
			l.Rules = append(l.Rules, rule)
		}
	}
	for i := range m.File.Dropped {
		if l := find("dropped", m.File.Dropped[i].Source); l != nil {
			l.Dropped = m.File.Dropped[i].Reason
		}
	}
	for i := range r.Lines {
		if !r.Lines[i].AccountedFor() {
			r.Unaccounted++
		}
	}
	return r
}

// Write prints one line of text for each line of the old file, then the
// mistakes and a summary.
func (r *Report) Write(w io.Writer) error {
	var b strings.Builder
	for i := range r.Lines {
		l := &r.Lines[i]
		what := "not carried"
		switch {
		case len(l.Rules) > 0:
			what = strings.Join(l.Rules, ", ")
		case l.Dropped != "":
			what = "dropped: " + l.Dropped
		}
		fmt.Fprintf(&b, "%s:%d: %s\n    %s\n", r.File, l.Number, what, l.Text)
	}
	for _, m := range r.Mistakes {
		b.WriteString(m + "\n")
	}
	fmt.Fprintf(&b, "%s: %d lines, %d not carried, %d wrong sources\n", r.File, len(r.Lines), r.Unaccounted, len(r.Mistakes))
	_, err := io.WriteString(w, b.String())
	return err
}
