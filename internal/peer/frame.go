package peer

import (
	"bufio"
	"io"

	"github.com/go-faster/errors"
)

// Bounds of a gob stream. Package gob accepts messages of up to 1 GiB and any
// number of type definitions, which it keeps as long as the connection lives.
const (
	defaultMaxMessage = 4 << 20 // a handed-over batch of orders is the largest message
	maxTypes          = 512     // all messages of package wire define fewer than 100
	maxTypeBytes      = 64 << 10
)

var (
	errMessageSize = errors.New("peer: message exceeds the size limit")
	errFraming     = errors.New("peer: malformed message length")
	errTypes       = errors.New("peer: too many type definitions")
)

type framePhase uint8

const (
	phaseLength     framePhase = iota // first byte of a message length
	phaseLengthRest                   // further bytes of a message length
	phaseType                         // first byte of the type number of a message
	phaseTypeRest                     // further bytes of the type number
	phaseBody
)

// frameReader passes on a gob stream and fails as soon as a message length or
// the number of type definitions exceeds its bound, before gob allocates for
// it. It implements io.ByteReader, so that gob adds no read-ahead of its own
// and read is exact at message boundaries.
type frameReader struct {
	r         *bufio.Reader
	max       uint64
	phase     framePhase
	need      int    // bytes left of the number being read
	value     uint64 // message length read so far
	left      uint64 // bytes left in the message
	types     int
	typeBytes uint64
	read      int64 // bytes passed on
}

func newFrameReader(r io.Reader, limit int) *frameReader {
	return &frameReader{r: bufio.NewReader(r), max: uint64(limit)}
}

// ReadByte implements io.ByteReader.
func (f *frameReader) ReadByte() (byte, error) {
	b, err := f.r.ReadByte()
	if err != nil {
		return 0, err
	}
	return b, f.scan([]byte{b})
}

// Read implements io.Reader.
func (f *frameReader) Read(p []byte) (int, error) {
	n, err := f.r.Read(p)
	if scanErr := f.scan(p[:n]); scanErr != nil {
		return 0, scanErr
	}
	return n, err
}

func (f *frameReader) scan(p []byte) error {
	f.read += int64(len(p))
	for len(p) > 0 {
		if f.phase == phaseBody {
			n := min(f.left, uint64(len(p)))
			p = p[n:]
			f.consume(n)
			continue
		}
		if err := f.number(p[0]); err != nil {
			return err
		}
		p = p[1:]
	}
	return nil
}

// number takes one byte of a message length or of a type number. gob encodes
// an unsigned number below 128 as one byte, and others as the negated count of
// the big-endian bytes that follow.
func (f *frameReader) number(b byte) error {
	switch f.phase {
	case phaseLength:
		if b <= 0x7f {
			return f.begin(uint64(b))
		}
		f.need, f.value, f.phase = -int(int8(b)), 0, phaseLengthRest
		if f.need > 8 {
			return errFraming
		}
	case phaseLengthRest:
		f.value = f.value<<8 | uint64(b)
		if f.need--; f.need == 0 {
			return f.begin(f.value)
		}
	case phaseType:
		if b <= 0x7f {
			return f.typeNumber(b)
		}
		f.need, f.phase = -int(int8(b)), phaseTypeRest
		f.consume(1)
	case phaseTypeRest:
		if f.need--; f.need == 0 {
			return f.typeNumber(b)
		}
		f.consume(1)
	case phaseBody:
	}
	return nil
}

func (f *frameReader) begin(length uint64) error {
	if length == 0 {
		return errFraming
	}
	if length > f.max {
		return errMessageSize
	}
	f.left, f.phase = length, phaseType
	return nil
}

// typeNumber takes the last byte of a type number. The lowest bit is set when
// the number is negative, which marks a type definition.
func (f *frameReader) typeNumber(last byte) error {
	if last&1 == 1 {
		f.types++
		f.typeBytes += f.left
		if f.types > maxTypes || f.typeBytes > maxTypeBytes {
			return errTypes
		}
	}
	f.phase = phaseBody
	f.consume(1)
	return nil
}

func (f *frameReader) consume(n uint64) {
	if f.left -= n; f.left == 0 {
		f.phase = phaseLength
	}
}
