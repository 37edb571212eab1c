package tomlfile

import (
	"bytes"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Index maps key paths such as services[0].name to line numbers.
type Index struct{ lines map[string]int }

// Line returns the line of path, or of its nearest enclosing table that the file
// contains, or 0.
func (x *Index) Line(path string) int {
	for path != "" {
		if n, ok := x.lines[path]; ok {
			return n
		}
		dot := strings.LastIndexByte(path, '.')
		if dot < 0 {
			return 0
		}
		path = path[:dot]
	}
	return 0
}

// Decode decodes raw into target, a pointer to a struct with toml tags. Unknown
// keys, wrong types and syntax errors are added to problems; ok is false if target
// must not be used.
//
// Unknown keys are detected here and not by go-toml's strict mode, because that
// renders the context of each unknown key from the whole document, which takes
// minutes on a file of 1 MB full of unknown keys.
//
// A panic of the parser is reported as a problem of the file. All entry hosts read
// the same manifest, so that an unrecovered panic would stop all of them at once.
func Decode(raw []byte, target any, problems *Problems) (index *Index, ok bool) {
	defer func() {
		if r := recover(); r != nil {
			problems.Add(0, "", "the file cannot be parsed: %v", r)
			ok = false
		}
	}()
	w := &walker{
		raw: raw, line: 1, problems: problems, arrayLengths: map[string]int{},
		index: &Index{lines: make(map[string]int, 64)},
	}
	if !utf8.Valid(raw) {
		problems.Add(0, "", "the file is not valid UTF-8")
		return w.index, false
	}
	index = w.index
	w.document(reflect.TypeOf(target).Elem())
	unknown := problems.Len()
	dec := toml.NewDecoder(bytes.NewReader(raw))
	if unknown == 0 {
		dec.DisallowUnknownFields()
	}
	err := dec.Decode(target)
	if err == nil {
		return w.index, true
	}
	if missing, isMissing := errors.Into[*toml.StrictMissingError](err); isMissing {
		for i := range missing.Errors {
			addDecodeError(problems, &missing.Errors[i])
		}
		return w.index, false
	}
	if e, isDecode := errors.Into[*toml.DecodeError](err); isDecode {
		addDecodeError(problems, e)
	} else {
		problems.Add(0, "", "%s", err)
	}
	return w.index, false
}

func addDecodeError(problems *Problems, e *toml.DecodeError) {
	row, _ := e.Position()
	problems.Add(row, truncate(strings.Join(e.Key(), ".")), "%s", truncate(strings.TrimPrefix(e.Error(), "toml: ")))
}

// truncate bounds the length of text that was taken from the file.
func truncate(s string) string {
	const maxBytes = 200
	if len(s) <= maxBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxBytes], "") + "..."
}

// walker visits the expressions of a document in order, records their lines and
// checks keys against the toml tags of the target type.
type walker struct {
	raw          []byte
	offset       int // end of the bytes counted in line
	line         int
	parser       unstable.Parser
	index        *Index
	arrayLengths map[string]int // number of elements seen so far, by array of tables
	problems     *Problems
}

func (w *walker) document(root reflect.Type) {
	w.parser.Reset(w.raw)
	prefix, typ := "", root
	for w.parser.NextExpression() {
		switch e := w.parser.Expression(); e.Kind {
		case unstable.Table:
			prefix, typ = w.table(e, root, false)
		case unstable.ArrayTable:
			prefix, typ = w.table(e, root, true)
		case unstable.KeyValue:
			if typ != nil {
				w.keyValue(e, prefix, typ)
			}
		}
	}
	// Syntax errors are reported by the decoder.
}

// table resolves a table header to its path and type. The type is nil for an
// unknown table, whose keys are not reported individually.
func (w *walker) table(e *unstable.Node, root reflect.Type, array bool) (string, reflect.Type) {
	path, typ := "", root
	it := e.Key()
	for it.Next() {
		n := it.Node()
		line := w.lineAt(int(n.Raw.Offset))
		path = join(path, string(n.Data))
		if typ = w.fieldType(typ, string(n.Data), path, line); typ == nil {
			return path, nil
		}
		if typ.Kind() == reflect.Slice {
			if it.IsLast() && array {
				w.arrayLengths[path]++
			}
			path += "[" + strconv.Itoa(max(w.arrayLengths[path]-1, 0)) + "]"
			typ = typ.Elem()
		}
		if it.IsLast() {
			w.index.lines[path] = line
		}
	}
	return path, typ
}

// keyValue records and checks the keys of one key-value pair.
func (w *walker) keyValue(e *unstable.Node, prefix string, typ reflect.Type) {
	path := prefix
	it := e.Key()
	for it.Next() {
		n := it.Node()
		line := w.lineAt(int(n.Raw.Offset))
		path = join(path, string(n.Data))
		if typ = w.fieldType(typ, string(n.Data), path, line); typ == nil {
			return
		}
		w.index.lines[path] = line
	}
	w.value(e.Value(), path, typ)
}

// value checks the keys of inline tables, also within arrays.
func (w *walker) value(v *unstable.Node, path string, typ reflect.Type) {
	switch {
	case v == nil:
	case v.Kind == unstable.InlineTable && typ.Kind() == reflect.Struct:
		it := v.Children()
		for it.Next() {
			if n := it.Node(); n.Kind == unstable.KeyValue {
				w.keyValue(n, path, typ)
			}
		}
	case v.Kind == unstable.Array && typ.Kind() == reflect.Slice && typ.Elem().Kind() == reflect.Struct:
		it := v.Children()
		for i := 0; it.Next(); i++ {
			w.value(it.Node(), path+"["+strconv.Itoa(i)+"]", typ.Elem())
		}
	}
}

// fieldType returns the type of the field that name selects in typ. For an unknown
// key it adds a problem and returns nil.
func (w *walker) fieldType(typ reflect.Type, name, path string, line int) reflect.Type {
	if typ.Kind() == reflect.Struct {
		for i := 0; i < typ.NumField(); i++ {
			if typ.Field(i).Tag.Get("toml") == name {
				return typ.Field(i).Type
			}
		}
	}
	w.problems.Add(line, truncate(path), "unknown key")
	return nil
}

// lineAt returns the line of offset. Offsets must not decrease from call to call.
func (w *walker) lineAt(offset int) int {
	if offset > w.offset && offset <= len(w.raw) {
		w.line += bytes.Count(w.raw[w.offset:offset], []byte{'\n'})
		w.offset = offset
	}
	return w.line
}

func join(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}
