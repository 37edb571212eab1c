package cli

import (
	"fmt"
	"io"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

func operatorsPage(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.New(t).NoErr(err)
	return string(raw)
}

// TestPageCommands guards against commands and options on the operators' page that
// the program does not have, and against commands that the page does not show.
func TestPageCommands(t *testing.T) {
	is := is.New(t)
	var lines []string
	for _, l := range strings.Split(operatorsPage(t), "\n") {
		if command, ok := strings.CutPrefix(strings.TrimSpace(l), "anvilfront "); ok && strings.HasPrefix(l, "    ") {
			lines = append(lines, command)
		}
	}
	for _, m := range regexp.MustCompile("`anvilfront ([^`]+)`").FindAllStringSubmatch(operatorsPage(t), -1) {
		lines = append(lines, m[1])
	}
	seen := map[string]bool{}
	for _, l := range lines {
		p, err := newParser(&app{stdout: io.Discard, stderr: io.Discard})
		is.NoErr(err)
		p.CommandHandler = func(_ flags.Commander, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("unexpected arguments %q", args)
			}
			seen[p.Active.Name] = true
			return nil
		}
		if _, err := p.ParseArgs(strings.Fields(l)); err != nil && !flags.WroteHelp(err) {
			t.Errorf("anvilfront %s: %v", l, err)
		}
		for _, word := range strings.Fields(l) {
			if strings.HasPrefix(word, "examples/") {
				_, err := os.Stat("../../" + word)
				is.NoErr(err) // a file named on the page exists
			}
		}
	}
	p, err := newParser(&app{})
	is.NoErr(err)
	for _, c := range p.Commands() {
		is.True(seen[c.Name]) // the page shows each command
	}
}

// TestPageReasons guards against refusal reasons that the operators' page does not
// list, or lists with a different status code.
func TestPageReasons(t *testing.T) {
	page := operatorsPage(t)
	for _, r := range verdict.Reasons() {
		if row := fmt.Sprintf("| `%s` | %d | ", r, r.Status()); !strings.Contains(page, row) {
			t.Errorf("the page has no row that starts with %q", row)
		}
	}
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| \\d").FindAllStringSubmatch(page, -1) {
		if _, ok := verdict.ParseReason(row[1]); !ok {
			t.Errorf("there is no reason %q", row[1])
		}
	}
}

// TestPageSnippets guards against TOML on the operators' page that is not valid in a
// manifest.
func TestPageSnippets(t *testing.T) {
	var snippet strings.Builder
	for _, l := range strings.Split(operatorsPage(t), "\n") {
		if code, ok := strings.CutPrefix(l, "    "); ok && (strings.HasPrefix(code, "[[") || strings.Contains(code, " = ")) {
			snippet.WriteString(code + "\n")
		}
	}
	_, err := manifest.Parse([]byte("revision = 1\n" + snippet.String()))
	is.New(t).NoErr(err)
	is.New(t).True(strings.Contains(snippet.String(), "[[dropped]]"))
}
