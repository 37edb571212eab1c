package filter

// Fields collects header fields from buffers that are reused afterwards. It
// copies names and values into one string, so that a message needs a few
// allocations instead of two per field.
type Fields struct {
	text       []byte
	inlineEnds [2 * inlineFields]int
	overflow   []int
	count      int
}

// inlineFields is the number of fields that are stored without a further allocation.
const inlineFields = 16

// Add appends a copy of one field.
func (f *Fields) Add(name, value []byte) {
	f.text = append(f.text, name...)
	f.markEnd()
	f.text = append(f.text, value...)
	f.markEnd()
}

func (f *Fields) markEnd() {
	if f.count < len(f.inlineEnds) {
		f.inlineEnds[f.count] = len(f.text)
	} else {
		f.overflow = append(f.overflow, len(f.text))
	}
	f.count++
}

// Headers returns the fields in the order in which they were added.
func (f *Fields) Headers() []Header {
	text, from := string(f.text), 0
	next := func(i int) string {
		to := 0
		if i < len(f.inlineEnds) {
			to = f.inlineEnds[i]
		} else {
			to = f.overflow[i-len(f.inlineEnds)]
		}
		s := text[from:to]
		from = to
		return s
	}
	out := make([]Header, f.count/2)
	for i := range out {
		out[i].Name = next(2 * i)
		out[i].Value = next(2*i + 1)
	}
	return out
}
