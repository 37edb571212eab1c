package bodies

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// TestAccountHolds guards against bodies that together exceed the account when they grow at
// the same time, and against memory that stays reserved.
func TestAccountHolds(t *testing.T) {
	const limit, bodies, free = 1 << 20, 32, 16 << 10
	a := NewAccount(limit)
	var wg sync.WaitGroup
	for n := range bodies {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(n), 1))
			for range 200 {
				r := Reservation{Account: a, Free: free}
				held := 0
				for size := 4 << 10; size <= 256<<10 && r.Grow(size); size *= 2 {
					held = size
					if rng.IntN(8) == 0 {
						break
					}
				}
				if r.bytes < int64(held-free) {
					t.Errorf("%d bytes are held, %d counted", held, r.bytes)
				}
				r.Release()
				r.Release() // has no further effect
			}
		})
	}
	wg.Wait()
	if a.Used() != 0 {
		t.Errorf("%d bytes stay reserved", a.Used())
	}
	r := Reservation{Account: a}
	if !r.Grow(limit) || r.Grow(limit+1) || a.Used() != limit {
		t.Errorf("%d bytes are reserved of %d", a.Used(), limit)
	}
	r.Release()
}

// FuzzHold guards against bytes from outside that make reading a body panic, hold more than
// its limit, exceed the account or leave memory reserved, and against a body that is
// complete although it is cut.
func FuzzHold(f *testing.F) {
	f.Add([]byte("5\r\nhello\r\n0\r\n\r\n"), -1, 100, 50)
	f.Add([]byte("5;x=y\r\nhello\r\n0\r\nA: b\r\n\r\n"), -1, 3, 50)
	f.Add([]byte("hello"), 5, 100, 50)
	f.Add([]byte("hel"), 5, 100, 50)
	f.Add([]byte("hello"), -2, 100, 2)
	f.Add([]byte("ffffffffffffffff\r\n"), -1, 1<<20, 1<<20)
	f.Fuzz(func(t *testing.T, raw []byte, length, limit, memory int) {
		length, limit = max(length, -2), max(1, min(limit, 1<<20))
		account := NewAccount(int64(max(0, min(memory, 1<<20))))
		r := Reservation{Account: account}
		body := NewReader(bufio.NewReader(bytes.NewReader(raw)), length, &fasthttp.RequestHeader{})
		held, complete, err := Hold(body, length, limit, &r)
		if len(held) > limit || int64(cap(held)) > max(account.Used(), 0) {
			t.Errorf("%d bytes in %d are held, %d reserved, limit %d", len(held), cap(held), account.Used(), limit)
		}
		if account.Used() > account.limit {
			t.Errorf("%d bytes are reserved of %d", account.Used(), account.limit)
		}
		if complete && err == nil && length >= 0 && len(held) != length {
			t.Errorf("a body of %d bytes is complete with %d", length, len(held))
		}
		r.Release()
		if account.Used() != 0 {
			t.Errorf("%d bytes stay reserved", account.Used())
		}
	})
}

// TestHold guards against a body that is cut and counts as complete, one that is refused
// although it ends at its limit, and one that exceeds it.
func TestHold(t *testing.T) {
	for name, c := range map[string]struct {
		raw      string
		length   int
		limit    int
		held     string
		complete bool
		err      error
	}{
		"length":           {"hello, and more", 5, 10, "hello", true, nil},
		"length, cut":      {"hel", 5, 10, "", false, io.ErrUnexpectedEOF},
		"length, at limit": {"hello", 5, 5, "hello", true, nil},
		"length, beyond":   {"hello", 5, 4, "hell", false, nil},
		"empty":            {"", 0, 4, "", true, nil},
		"chunks":           {"2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n", -1, 10, "hello", true, nil},
		"chunks, trailer":  {"5\r\nhello\r\n0\r\nA: b\r\n\r\n", -1, 10, "hello", true, nil},
		"chunks, cut":      {"5\r\nhello\r\n0\r\n", -1, 10, "", false, io.ErrUnexpectedEOF},
		"chunks, beyond":   {"5\r\nhello\r\n0\r\n\r\n", -1, 4, "hell", false, nil},
		"to the end":       {"hello", -2, 10, "hello", true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := Reservation{Account: NewAccount(1 << 20)}
			body := NewReader(bufio.NewReader(bytes.NewReader([]byte(c.raw))), c.length, &fasthttp.RequestHeader{})
			held, complete, err := Hold(body, c.length, c.limit, &r)
			is.Equal(string(held), c.held)
			is.Equal(complete, c.complete)
			is.Equal(err, c.err)
		})
	}
}
