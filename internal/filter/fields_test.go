package filter

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestFields guards against fields that are lost, swapped, or share a buffer with
// their source.
func TestFields(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var f Fields
		var want []Header
		for range rapid.IntRange(0, 3*inlineFields).Draw(rt, "fields") {
			name, value := rapid.SliceOf(rapid.Byte()).Draw(rt, "name"), rapid.SliceOf(rapid.Byte()).Draw(rt, "value")
			want = append(want, Header{Name: string(name), Value: string(value)})
			f.Add(name, value)
			clear(name)
			clear(value)
		}
		if got := f.Headers(); fmt.Sprint(got) != fmt.Sprint(want) {
			rt.Fatalf("got %q, want %q", got, want)
		}
	})
}
