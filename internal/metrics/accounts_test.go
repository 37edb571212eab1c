package metrics

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/verdict"
)

// TestAccounts guards against requests of an account that are not counted or are counted for
// another, among them those of concurrent new names.
func TestAccounts(t *testing.T) {
	is := is.New(t)
	c := New()
	a := NewAccounts(c)
	const names, rounds, workers = 100, 20, 8
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for range rounds {
				for i := range names {
					a.Admitted(fmt.Sprintf("a%d", i))
					a.Refused(fmt.Sprintf("a%d", i), verdict.ReasonOverload)
				}
			}
		})
	}
	wg.Wait()
	a.Refused("", verdict.ReasonUnauthorized)
	for name, r := range a.byName() {
		is.Equal(r.Admitted, int64(rounds*workers))                  // of each name
		is.Equal(r.Refused["overload"], int64(rounds*workers))       // of each name
		is.True(strings.HasPrefix(name, "a") && len(r.Refused) == 1) // nothing without a name
	}
	is.Equal(len(a.byName()), names)
	for name, want := range map[string]int64{
		"accounts.admitted": names * rounds * workers, "accounts.refused.overload": names * rounds * workers,
		"accounts.refused.unauthorized": 1, "accounts.names_dropped": 0,
	} {
		v, ok := c.Value(name)
		is.True(ok)
		is.Equal(v, want)
	}
	is.True(strings.Contains(c.Map().String(), `"a7":{"admitted":160,"refused":{"overload":160}}`))
}

// TestAccountNamesBounded guards against memory that grows with the number of accounts, and
// against accounts in use whose counts are dropped.
func TestAccountNamesBounded(t *testing.T) {
	is := is.New(t)
	a := NewAccounts(New())
	const busy, rare = 100, 5000
	for i := range rare {
		a.Refused(fmt.Sprintf("rare%d", i), verdict.ReasonQuota)
		a.Admitted(fmt.Sprintf("busy%d", i%busy))
	}
	kept := a.byName()
	is.True(len(kept) <= maxAccountNames)
	is.Equal(int64(len(kept))+a.dropped.Value(), int64(busy+rare))
	for i := range busy {
		is.Equal(kept[fmt.Sprintf("busy%d", i)].Admitted, int64(rare/busy))
	}
	is.Equal(a.refused[verdict.ReasonQuota].Value(), int64(rare)) // in all, none is lost
}
