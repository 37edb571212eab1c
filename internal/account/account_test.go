package account

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/anvilfront/anvilfront/internal/manifest"
)

// TestCompare guards against lines of the old configuration that are lost without a
// report, and against sources that refer to a missing or blank line.
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
dir/old.conf:4: not accounted for
    # four
dir/old.conf:5: dropped: unused
    five
route d: source old.conf:2 is blank or not a line of dir/old.conf
route e: source old.conf:99 is blank or not a line of dir/old.conf
dir/old.conf: 4 lines, 1 not accounted for, 2 invalid sources
`)
	is.True(!r.OK())
}

// TestCompareCountsEveryLine guards against non-blank lines that are neither
// accounted for nor counted as unaccounted.
func TestCompareCountsEveryLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOf(rapid.SampledFrom([]string{"", " ", "x", "# y"})).Draw(t, "lines")
		accounted := map[int]bool{}
		f := &manifest.File{}
		want := 0
		for i, l := range lines {
			if strings.TrimSpace(l) == "" {
				continue
			}
			if rapid.Bool().Draw(t, "has a rule") {
				accounted[i+1] = true
				f.Routes = append(f.Routes, manifest.Route{Name: "r", Source: fmt.Sprintf("f:%d", i+1)})
			} else {
				want++
			}
		}
		r := Compare(&manifest.Manifest{File: f}, "f", []byte(strings.Join(lines, "\n")))
		if r.Unaccounted != want || r.OK() != (want == 0) || len(r.Lines) != want+len(accounted) {
			t.Fatalf("%d of %d lines not accounted for, want %d: %+v", r.Unaccounted, len(r.Lines), want, r)
		}
	})
}
