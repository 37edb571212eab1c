package filters

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"weak"

	"github.com/matryer/is"
)

// TestFormerRoutesAreDropped guards against memory that grows with each route that ever
// got a request, over many changes of the configuration, and against a route in use that
// loses what was learned of it.
func TestFormerRoutesAreDropped(t *testing.T) {
	for name, c := range map[string]struct{ names, length int }{"many": {2000, 1000}, "long": {60, 50 << 10}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var m cowMap[[64]byte]
			inUse := m.get("in use")
			var former []weak.Pointer[[64]byte]
			for n := range c.names {
				former = append(former, weak.Make(m.get(fmt.Sprint(n, strings.Repeat("x", c.length)))))
				is.True(m.get("in use") == inUse)
			}
			runtime.GC()
			held := 0
			for _, v := range former {
				if v.Value() != nil {
					held++
				}
			}
			is.True(held > 0)
			if most := 2 * maxGenerationBytes / (c.length + nameOverheadBytes); held > most {
				t.Errorf("%d of %d former routes are held, at most %d expected", held, c.names, most)
			}
			runtime.KeepAlive(&m)
		})
	}
}

// TestConcurrentNames guards against two goroutines that get different values for one
// name, so that one of them counts for nothing.
func TestConcurrentNames(t *testing.T) {
	var m cowMap[int]
	var values [8][100]*int
	var wg sync.WaitGroup
	for i := range values {
		wg.Go(func() {
			for n := range values[i] {
				values[i][n] = m.get(fmt.Sprint(n))
			}
		})
	}
	wg.Wait()
	for i := range values {
		if values[i] != values[0] {
			t.Fatal("goroutines got different values for one name")
		}
	}
}
