package feeds

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/anvilfront/anvilfront/internal/feed"
)

// maxUnpackedBytes bounds the value of an unpacked item. The platform holds values of up
// to 1 MiB.
const maxUnpackedBytes = 4 << 20

var errUnpackedTooLarge = errors.New("unpacked item is too large")

// packer compresses large items, and keeps the two newest results: there is one large item,
// the configuration, and another version of it may be held. It is not safe for concurrent use.
type packer struct{ newestFirst [2]packedItem }

type packedItem struct {
	item   feed.Item
	packed feed.Packed
}

func (p *packer) pack(i feed.Item) feed.Packed {
	for _, known := range p.newestFirst {
		if known.item.Same(&i) {
			return known.packed
		}
	}
	var out bytes.Buffer
	w, _ := flate.NewWriter(&out, flate.DefaultCompression) // fails only for an unknown level
	_, _ = w.Write(i.Value)                                 // a bytes.Buffer never fails
	_ = w.Close()
	packed := feed.Packed{Data: out.Bytes(), Digest: xxhash.Sum64(out.Bytes())}
	p.newestFirst = [2]packedItem{{i, packed}, p.newestFirst[0]}
	return packed
}

// unpack reverses pack.
func unpack(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	value, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "unpack item")
	case len(value) > maxUnpackedBytes:
		return nil, errUnpackedTooLarge
	}
	return value, nil
}
