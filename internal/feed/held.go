package feed

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxHeld and maxHeldBytes bound the changes of older eras that are kept. Only changes
	// of the seconds that a copy lacks are; the configuration has at most 1 MiB.
	maxHeld, maxHeldBytes = 4096, 4 << 20
	// heldOverheadBytes is the memory that a held change takes up besides its key and value.
	heldOverheadBytes = 128
	// heldPrefix precedes the keys of held changes in transfers, so that they come first and
	// apart from the current change of the same key.
	heldPrefix = "\x00"
)

// heldChange is the newest known change of an item in an older era, which the copy lacks.
// It binds until the current era says otherwise later than the copy.
type heldChange struct {
	item    Item
	settled bool // it no longer binds; its value is dropped
}

// heldChanges are the held changes by key. A change is never forgotten within an era, so
// that hosts which tell each other theirs end with the same ones in any order: of each key
// the newest, settled if it is settled on one of them.
type heldChanges struct {
	byKey              map[string]heldChange
	digest             uint64 // of all keys, positions and settled flags; 0: none
	bytes              int
	dropped            int // changes that the bounds left no room for
	maxCount, maxBytes int
}

func newHeldChanges() heldChanges {
	return heldChanges{byKey: map[string]heldChange{}, maxCount: maxHeld, maxBytes: maxHeldBytes}
}

// compareHeld orders two changes of one item. One of which the era is known is taken for the
// newer one: a copy may list what was changed long before.
func compareHeld(a, b Item) int {
	if a.Copied != b.Copied {
		return cmp.Compare(boolInt(b.Copied), boolInt(a.Copied))
	}
	if a.Copied {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Era, b.Era))
	}
	return a.Position().Compare(b.Position())
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (c *heldChange) hash() uint64 {
	var b [17]byte
	binary.LittleEndian.PutUint64(b[:], c.item.Era)
	binary.LittleEndian.PutUint64(b[8:], c.item.Revision)
	if c.settled {
		b[16] = 1
	}
	if c.item.Copied {
		b[16] |= 2
	}
	return xxhash.Sum64String(c.item.Key+string(b[:])) ^ xxhash.Sum64(c.item.Value)
}

func (c *heldChange) size() int { return c.item.bytes() + heldOverheadBytes }

func (h *heldChanges) remove(c heldChange) {
	h.digest ^= c.hash()
	h.bytes -= c.size()
	delete(h.byKey, c.item.Key)
}

func (h *heldChanges) put(c heldChange) {
	if c.settled {
		c.item.Value = nil
	}
	if old, ok := h.byKey[c.item.Key]; ok {
		h.remove(old)
	}
	if len(h.byKey) >= h.maxCount || h.bytes+c.size() > h.maxBytes {
		h.dropped++
		return
	}
	h.digest ^= c.hash()
	h.bytes += c.size()
	h.byKey[c.item.Key] = c
}

// add adds a change unless a newer one of the same key is known.
func (h *heldChanges) add(i Item, settled bool) {
	i.Settled = false
	if old, ok := h.byKey[i.Key]; ok {
		order := compareHeld(old.item, i)
		switch {
		case order == 0 && (old.settled || settled):
			order = cmp.Compare(boolInt(old.settled), boolInt(settled))
		case order == 0: // their oldest possible eras are the same, but their true eras may differ
			order = bytes.Compare(old.item.Value, i.Value)
		}
		if order >= 0 {
			return
		}
	}
	h.put(heldChange{i, settled})
}

func (h *heldChanges) settle(key string) {
	if c, ok := h.byKey[key]; ok && !c.settled {
		c.settled = true
		h.put(c)
	}
}

// get returns the change of a key that binds.
func (h *heldChanges) get(key string) (Item, bool) {
	c, ok := h.byKey[key]
	return c.item, ok && !c.settled
}

// items returns the changes for another host, in the order of their keys.
func (h *heldChanges) items() []Item {
	out := make([]Item, 0, len(h.byKey))
	for _, c := range h.byKey {
		i := c.item
		i.Key, i.Settled = heldPrefix+i.Key, c.settled
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return out
}
