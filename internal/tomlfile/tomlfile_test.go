package tomlfile

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

type doc struct {
	Name  string `toml:"name"`
	Items []item `toml:"items"`
}

type item struct {
	Size  int    `toml:"size"`
	Parts []item `toml:"parts"`
}

// TestDecodePositions guards against problems that are reported with a wrong line
// or key, and against reports that contain only the first problem.
func TestDecodePositions(t *testing.T) {
	for _, c := range []struct{ name, raw, want string }{
		{"unknown keys", "nam = 1\n[[items]]\nsize = 1\nsiez = 2\n[[items.parts]]\nx.y = 1\n[[itmes]]\nsize = 1\n",
			"line 1: nam: unknown key\nline 4: items[0].siez: unknown key\nline 6: items[0].parts[0].x: unknown key\nline 7: itmes: unknown key"},
		{"inline", "items = [\n {size = 1},\n {size = 2, siez = 3},\n]\n", "line 3: items[1].siez: unknown key"},
		{"letter case", "Name = 'a'\n", "line 1: Name: unknown key"},
		{"type", "name = 'a'\n\n[[items]]\nsize = 'b'\n", "line 4: items.size: "},
		{"syntax", "name = 'a'\nsize =\n", "line 2: "},
		{"truncated", "name = 'a'\n[[ite", "line 2: "},
		{"duplicate", "name = 'a'\nname = 'b'\n", "line 2: "},
		{"encoding", "name = '\xff'", "the file is not valid UTF-8"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := &Problems{}
			_, ok := Decode([]byte(c.raw), &doc{}, p)
			is.True(!ok || p.Len() > 0)
			text := p.Err().Error()
			if !strings.Contains(text, c.want) {
				t.Fatalf("got %q, want %q", text, c.want)
			}
		})
	}
}

// TestProblemsLimit guards against a malicious file for which the report, or the
// time to build it, grows without bound.
func TestProblemsLimit(t *testing.T) {
	is := is.New(t)
	p := &Problems{}
	raw := strings.Repeat("[[items]]\nk=1\n", 40000)
	Decode([]byte(raw), &doc{}, p)
	err := p.Err().(*Error)
	is.Equal(len(err.Problems), MaxProblems)
	is.Equal(err.Omitted, 40000-MaxProblems)
	is.True(strings.HasPrefix(Describe("m.toml", err), "m.toml:2: items[0].k: unknown key\n"))
	is.Equal((&Problems{}).Err(), nil)
}
