package peer

import (
	"bufio"
	"io"

	"github.com/go-faster/errors"
)

// Limits of a gob stream. Package gob accepts messages of up to 1 GiB and any number of
// type definitions, which it keeps for the lifetime of the connection.
const (
	defaultMaxMessage = 4 << 20 // bytes; the largest message is a batch of orders in a hand-over
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

// frameReader reads a gob stream and fails as soon as a message length, or the number or
// size of type definitions, exceeds its limit, before gob allocates memory for it. It
// implements io.ByteReader, so that gob adds no buffer of its own and the field read is
// exact at message boundaries.
type frameReader struct {
	r           *bufio.Reader
	max         uint64
	phase       framePhase
	bytesNeeded int    // remaining bytes of the number being read
	value       uint64 // message length read so far
	messageLeft uint64 // remaining bytes of the message
	types       int
	typeBytes   uint64
	read        int64 // bytes returned to gob
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
			n := min(f.messageLeft, uint64(len(p)))
			p = p[n:]
			f.consume(n)
			continue
		}
		if err := f.scanNumber(p[0]); err != nil {
			return err
		}
		p = p[1:]
	}
	return nil
}

// scanNumber processes one byte of a message length or of a type number. gob encodes an
// unsigned number below 128 as one byte, and others as the negated count of the big-endian
// bytes that follow.
func (f *frameReader) scanNumber(b byte) error {
	switch f.phase {
	case phaseLength:
		if b <= 0x7f {
			return f.beginMessage(uint64(b))
		}
		f.bytesNeeded, f.value, f.phase = -int(int8(b)), 0, phaseLengthRest
		if f.bytesNeeded > 8 {
			return errFraming
		}
	case phaseLengthRest:
		f.value = f.value<<8 | uint64(b)
		if f.bytesNeeded--; f.bytesNeeded == 0 {
			return f.beginMessage(f.value)
		}
	case phaseType:
		if b <= 0x7f {
			return f.endTypeNumber(b)
		}
		f.bytesNeeded, f.phase = -int(int8(b)), phaseTypeRest
		f.consume(1)
	case phaseTypeRest:
		if f.bytesNeeded--; f.bytesNeeded == 0 {
			return f.endTypeNumber(b)
		}
		f.consume(1)
	case phaseBody:
	}
	return nil
}

func (f *frameReader) beginMessage(length uint64) error {
	if length == 0 {
		return errFraming
	}
	if length > f.max {
		return errMessageSize
	}
	f.messageLeft, f.phase = length, phaseType
	return nil
}

// endTypeNumber processes the last byte of a type number. The lowest bit is set when the
// number is negative, which marks a type definition.
func (f *frameReader) endTypeNumber(last byte) error {
	if last&1 == 1 {
		f.types++
		f.typeBytes += f.messageLeft
		if f.types > maxTypes || f.typeBytes > maxTypeBytes {
			return errTypes
		}
	}
	f.phase = phaseBody
	f.consume(1)
	return nil
}

func (f *frameReader) consume(n uint64) {
	if f.messageLeft -= n; f.messageLeft == 0 {
		f.phase = phaseLength
	}
}
