package feed

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/anvilfront/anvilfront/internal/clock"
)

func packPlain(i Item) Packed {
	return Packed{Data: i.Value, Digest: uint64(len(i.Value)) ^ i.Revision}
}

func unpackPlain(data []byte) ([]byte, error) { return data, nil }

// TestTransfersAgree guards against a replica that misses, reverts or invents a change
// when it fetches pages and parts from several hosts at different revisions, with
// replies that are lost and hosts that know only the whole content.
func TestTransfersAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		hosts := []*Replica{New(), New(), New()}
		for _, h := range hosts {
			h.removals.maxCount = 1 + rng.IntN(10)
		}
		revision := uint64(0)
		current := map[string]Item{}
		change := func() {
			revision++
			i := Item{Key: fmt.Sprintf("k%02d", rng.IntN(40)), Revision: revision, Value: bytes.Repeat([]byte{byte(revision)}, 1+rng.IntN(2000))}
			if rng.IntN(10) == 0 {
				i.Value = bytes.Repeat([]byte{byte(revision)}, largeItemBytes+rng.IntN(4*partBytes))
			}
			if _, known := current[i.Key]; known && rng.IntN(3) == 0 {
				i.Value, i.Gone = nil, true
				delete(current, i.Key)
			} else {
				current[i.Key] = i
			}
			for n, h := range hosts {
				switch {
				case rng.IntN(4) == 0: // it lags behind
				case !h.Complete() || n == 0 && rng.IntN(20) == 0:
					h.Replace(revision, all(current))
				case h.Revision() == revision-1:
					h.Apply(revision-1, revision, []Item{i})
				}
			}
		}
		var transfer Transfer
		r := New()
		for range rapid.IntRange(10, 150).Draw(rt, "steps") {
			if rng.IntN(3) == 0 {
				change()
				continue
			}
			h := hosts[rng.IntN(len(hosts))]
			if !h.Complete() || h.Revision() <= r.Revision() {
				continue
			}
			reply := h.Serve(transfer.Request(r), packPlain)
			if rng.IntN(5) == 0 {
				continue // lost
			}
			before := r.Revision()
			done, err := transfer.Accept(reply, unpackPlain)
			if err != nil {
				rt.Fatal(err)
			}
			if done {
				transfer.ApplyTo(r)
			}
			if r.Revision() < before {
				rt.Fatal("revision went back")
			}
		}
		last := New()
		last.Replace(revision+1, all(current))
		for n := 0; r.Revision() < revision+1; n++ {
			if n > 1000 {
				rt.Fatal("the transfer does not end")
			}
			done, err := transfer.Accept(last.Serve(transfer.Request(r), packPlain), unpackPlain)
			if err != nil {
				rt.Fatal(err)
			}
			if done {
				transfer.ApplyTo(r)
			}
		}
		if got, want := content(r), content(last); fmt.Sprint(got) != fmt.Sprint(want) {
			rt.Fatalf("content differs: %d items, want %d", len(got), len(want))
		}
	})
}

func all(items map[string]Item) (out []Item) {
	for _, i := range items {
		out = append(out, i)
	}
	return out
}

// TestInvalidReplies guards against a reply that makes a replica hold wrong items, or
// that takes up memory without bound.
func TestInvalidReplies(t *testing.T) {
	part := Part{Key: "b", Revision: 3, Digest: 1, Size: 10, Data: []byte("12345")}
	changed := func(f func(*Part)) Part { p := part; f(&p); return p }
	for name, reply := range map[string]Reply{
		"no content":            {Full: true},
		"another page":          {Revision: 9, Key: "x"},
		"order of keys":         {Revision: 9, Items: []Item{{Key: "b"}, {Key: "a"}}},
		"part too large":        {Revision: 9, Part: changed(func(p *Part) { p.Size = maxPackedBytes + 1 })},
		"part at a gap":         {Revision: 9, Part: changed(func(p *Part) { p.Offset = 2 })},
		"part beyond its size":  {Revision: 9, Part: changed(func(p *Part) { p.Size = 4 })},
		"part without data":     {Revision: 9, Part: changed(func(p *Part) { p.Data = nil })},
		"part of an older item": {Revision: 9, Items: []Item{{Key: "c"}}, Part: part},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var transfer Transfer
			r := New()
			r.Replace(2, nil)
			transfer.Request(r)
			_, err := transfer.Accept(reply, unpackPlain)
			is.True(err != nil)
			is.Equal(transfer.Request(r), Request{After: Position{0, 2}, Eras: true}) // it begins again
		})
	}
}

// TestTransferWithoutEnd guards against a host whose pages never end: the host that asked
// for them kept them all and ran out of memory.
func TestTransferWithoutEnd(t *testing.T) {
	large := make([]byte, 1<<20)
	for name, page := range map[string]func(q Request, key string) Reply{
		"items": func(q Request, key string) Reply {
			return Reply{Revision: 9, Full: true, Key: q.Key, Items: []Item{{Key: key, Value: large, Revision: 3}}, More: true}
		},
		"parts": func(q Request, key string) Reply {
			p := Part{Key: key, Revision: 3, Digest: 1, Size: 16, Data: make([]byte, 16)}
			return Reply{Revision: 9, Full: true, Key: q.Key, Part: p, More: true}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var transfer Transfer
			var err error
			received := 0
			r := New()
			r.Replace(1, nil)
			for n := 0; err == nil && received < 4*MaxContentBytes; n++ {
				reply := page(transfer.Request(r), fmt.Sprintf("k%09d", n))
				_, err = transfer.Accept(reply, func([]byte) ([]byte, error) { return large, nil })
				received += len(large)
			}
			is.True(errors.Is(err, ErrContentTooLarge))
			is.True(received <= MaxContentBytes+len(large))
			is.Equal(transfer.Request(r), Request{After: Position{0, 1}, Eras: true}) // it begins again
		})
	}
}

// TestPeers guards against a host that is asked again at once although it is busy or
// does not reply, and against a list of hosts that grows with their number.
func TestPeers(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	var s Peers
	now := clock.Time(1)
	for n := range uint64(20) {
		s.Announce(Peer{Address: fmt.Sprint(n), Changed: Position{0, 5}})
	}
	is.Equal(len(s.newestFirst), maxPeers)
	_, ok := s.Pick(now, Position{0, 5}, 0, rng)
	is.True(!ok) // none is ahead
	for range maxPeers {
		p, ok := s.Pick(now, Position{0, 4}, 0, rng)
		is.True(ok)
		s.Busy(now, p.Address, rng)
	}
	_, ok = s.Pick(now, Position{0, 4}, 0, rng)
	is.True(!ok)
	p, ok := s.Pick(now.Add(2*busyDelay), Position{0, 4}, 0, rng)
	is.True(ok)
	s.Failed(now, p.Address)
	s.Announce(Peer{Address: p.Address, Changed: Position{0, 6}}) // a heartbeat does not make it reachable
	_, ok = s.Pick(now, Position{0, 5}, 0, rng)
	is.True(!ok)
}
