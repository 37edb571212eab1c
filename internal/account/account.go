// Package account checks, line by line, that a manifest accounts for the
// configuration of the load balancer it replaces, so that no rule is lost in the
// migration. The command "anvilfront check --account" uses it.
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
	Rules   []string `json:"rules,omitempty"`   // rules whose source is this line, such as "route orders" or "alert shed"
	Dropped string   `json:"dropped,omitempty"` // reason why the line was left out on purpose
}

// AccountedFor reports whether the manifest has a rule for the line, or a reason for
// leaving it out.
func (l *Line) AccountedFor() bool { return len(l.Rules) > 0 || l.Dropped != "" }

// Report lists how the manifest accounts for each line of one old file.
type Report struct {
	File           string   `json:"file"`
	Lines          []Line   `json:"lines"`
	Unaccounted    int      `json:"missing"`            // lines that the manifest does not account for
	InvalidSources []string `json:"mistakes,omitempty"` // rules whose source is not a line of the file
}

// OK reports whether every line is accounted for and every source is valid.
func (r *Report) OK() bool { return r.Unaccounted == 0 && len(r.InvalidSources) == 0 }

// Compare reports how m accounts for the old file at path with content old. A source
// refers to the file if it names path as given or its base name; sources in other
// files are ignored. Every non-blank line counts, including comments, because only
// a person can judge whether a comment matters.
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
	lineOfSource := func(label, source string) *Line {
		file, number, ok := manifest.Source(source)
		if !ok || file != path && file != filepath.Base(path) {
			return nil
		}
		i, ok := byNumber[number]
		if !ok {
			r.InvalidSources = append(r.InvalidSources, fmt.Sprintf("%s: source %s is blank or not a line of %s", label, source, path))
			return nil
		}
		return &r.Lines[i]
	}
	for i := range m.File.Routes {
		rule := "route " + m.File.Routes[i].Name
		if l := lineOfSource(rule, m.File.Routes[i].Source); l != nil {
			l.Rules = append(l.Rules, rule)
		}
	}
	for i := range m.File.Alerts {
		rule := "alert " + m.File.Alerts[i].Name
		if l := lineOfSource(rule, m.File.Alerts[i].Source); l != nil {
			l.Rules = append(l.Rules, rule)
		}
	}
	for i := range m.File.Dropped {
		if l := lineOfSource("dropped", m.File.Dropped[i].Source); l != nil {
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

// Write prints each line of the old file with the rules that account for it, then
// the invalid sources and a summary.
func (r *Report) Write(w io.Writer) error {
	var b strings.Builder
	for i := range r.Lines {
		l := &r.Lines[i]
		label := "not accounted for"
		switch {
		case len(l.Rules) > 0:
			label = strings.Join(l.Rules, ", ")
		case l.Dropped != "":
			label = "dropped: " + l.Dropped
		}
		fmt.Fprintf(&b, "%s:%d: %s\n    %s\n", r.File, l.Number, label, l.Text)
	}
	for _, m := range r.InvalidSources {
		b.WriteString(m + "\n")
	}
	fmt.Fprintf(&b, "%s: %d lines, %d not accounted for, %d invalid sources\n", r.File, len(r.Lines), r.Unaccounted, len(r.InvalidSources))
	_, err := io.WriteString(w, b.String())
	return err
}
