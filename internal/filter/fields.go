package filter

// Fields collects header fields from buffers that are used again afterwards.
// It copies names and values into one string, so that a message costs a few
// allocations instead of two per field.
type Fields struct {
	text  []byte
	ends  [2 * inlineFields]int
	more  []int
	count int
}

// inlineFields is how many fields need no further allocation.
const inlineFields = 16

// Add appends a copy of one field.
func (f *Fields) Add(name, value []byte) {
	f.text = append(f.text, name...)
	f.end()
	f.text = append(f.text, value...)
	f.end()
}

func (f *Fields) end() {
	if f.count < len(f.ends) {
		f.ends[f.count] = len(f.text)
	} else {
		f.more = append(f.more, len(f.text))
	}
	f.count++
}

// Headers returns the fields in the order in which they were added.
func (f *Fields) Headers() []Header {
	text, from := string(f.text), 0
	next := func(i int) string {
		to := 0
		if i < len(f.ends) {
			to = f.ends[i]
		} else {
			to = f.more[i-len(f.ends)]
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
