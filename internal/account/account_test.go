package account

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/anvilfront/anvilfront/internal/manifest"
)

// TestCompare guards against a line of the old setup that gets lost silently,
// and against a source that points nowhere.
func TestCompare(t *testing.T) {
	is := is.New(t)
	m := &manifest.Manifest{File: &manifest.File{
		Routes: []manifest.Route{
			{Name: "a", Source: "old.conf:1"}, {Name: "b", Source: "dir/old.conf:1"},
			{Name: "c", Source: "other.conf:4"}, {Name: "d", Source: "old.conf:2"}, {Name: "e", Source: "old.conf:99"},
		},
		Alerts:  []manifest.AlertRule{{Name: "f", Source: "old.conf:3"}},
		Dropped: []manifest.Dropped{{Source: "old.conf:5", Reason: "unused"}},
	}}
	r := Compare(m, "dir/old.conf", []byte("one\r\n  \t\nthree\n# four\nfive\n"))
	var out strings.Builder
	is.NoErr(r.Write(&out))
	is.Equal(out.String(), `dir/old.conf:1: route a, route b
    one
dir/old.conf:3: alert f
    three
dir/old.conf:4: not carried
    # four
dir/old.conf:5: dropped: unused
    five
route d: source old.conf:2 is not a line of dir/old.conf, or a blank one
route e: source old.conf:99 is not a line of dir/old.conf, or a blank one
dir/old.conf: 4 lines, 1 not carried, 2 wrong sources
`)
	is.True(!r.OK())
}

// TestCompareCountsEveryLine guards against a non-blank line that is neither
// accounted for nor reported as missing.
func TestCompareCountsEveryLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOf(rapid.SampledFrom([]string{"", " ", "x", "# y"})).Draw(t, "lines")
		carried := map[int]bool{}
		f := &manifest.File{}
		want := 0
		for i, l := range lines {
			if strings.TrimSpace(l) == "" {
				continue
			}
			if rapid.Bool().Draw(t, "carry") {
				carried[i+1] = true
				f.Routes = append(f.Routes, manifest.Route{Name: "r", Source: fmt.Sprintf("f:%d", i+1)})
			} else {
				want++
			}
		}
		r := Compare(&manifest.Manifest{File: f}, "f", []byte(strings.Join(lines, "\n")))
		if r.Unaccounted != want || r.OK() != (want == 0) || len(r.Lines) != want+len(carried) {
			t.Fatalf("missing %d of %d lines, want %d: %+v", r.Unaccounted, len(r.Lines), want, r)
		}
	})
}
