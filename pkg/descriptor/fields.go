package descriptor

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// fields decodes the fields of one JSON object. It keeps the first error, which
// has the path of the field and the expected value. Decoding a field removes it
// from raw, so that the fields left at the end are unknown.
type fields struct {
	path string
	raw  map[string]json.RawMessage
	err  error
}

func readFields(path string, data []byte) (*fields, error) {
	f := &fields{path: path, raw: map[string]json.RawMessage{}}
	if err := f.read(data); err != nil {
		return nil, &Error{Op: "decode", Kind: ErrorSyntax, Path: path, Err: err}
	}
	return f, f.err
}

// read iterates over the JSON tokens instead of unmarshalling into a map, since
// encoding/json accepts duplicate fields and keeps the last one.
func (f *fields) read(data []byte) error {
	d := json.NewDecoder(bytes.NewReader(data))
	start, err := d.Token()
	if err != nil {
		return err
	}
	if start != json.Delim('{') {
		return errors.New("expects a JSON object")
	}
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		var raw json.RawMessage
		if err := d.Decode(&raw); err != nil {
			return err
		}
		if _, ok := f.raw[name]; ok {
			f.fail(ErrorField, name, "occurs twice")
		}
		f.raw[name] = raw
	}
	if _, err := d.Token(); err != nil {
		return err
	}
	if d.More() {
		return errors.New("expects one JSON object and nothing after it")
	}
	return nil
}

func (f *fields) fail(kind ErrorKind, name, message string) {
	if f.err != nil {
		return
	}
	path := name
	if f.path != "" {
		path = f.path + "." + name
	}
	f.err = &Error{Op: "decode", Kind: kind, Path: path, Err: errors.New(message)}
}

func (f *fields) failExpected(name, expects string) { f.fail(ErrorField, name, "expects "+expects) }

func (f *fields) has(name string) bool {
	_, ok := f.raw[name]
	return ok
}

// unmarshal decodes a field into target, which is unchanged if the field is absent.
func (f *fields) unmarshal(name, expects string, target any) {
	raw, ok := f.raw[name]
	delete(f.raw, name)
	if !ok {
		return
	}
	if bytes.Equal(raw, []byte("null")) || json.Unmarshal(raw, target) != nil {
		f.failExpected(name, expects)
	}
}

func (f *fields) text(name, expects string) string {
	var s string
	f.unmarshal(name, expects, &s)
	return s
}

// name decodes a required name, which is not empty and has no slash.
func (f *fields) name(name string) string {
	const expects = "a name that is not empty and has no slash"
	s := f.text(name, expects)
	if !isName(s) {
		f.failExpected(name, expects)
	}
	return s
}

func isName(s string) bool { return s != "" && !strings.Contains(s, "/") }

func (f *fields) names(name string) []string {
	return f.list(name, "names that are not empty and have no slash", isName)
}

// optionalNames decodes a list for which empty and absent differ. It returns nil only if
// the list is absent.
func (f *fields) optionalNames(name string) []string {
	isPresent := f.has(name)
	list := f.names(name)
	if isPresent && list == nil {
		return []string{}
	}
	return list
}

func (f *fields) hashes(name string) []string {
	list := f.list(name, "SHA-256 hashes of 64 hexadecimal digits", func(s string) bool {
		b, err := hex.DecodeString(s)
		return err == nil && len(b) == 32
	})
	for i := range list {
		// Hashes are compared as strings, so their case is normalised.
		list[i] = strings.ToLower(list[i])
	}
	return list
}

func (f *fields) list(name, expects string, valid func(string) bool) []string {
	var list []string
	f.unmarshal(name, "a list of "+expects, &list)
	for i, s := range list {
		if !valid(s) {
			f.failExpected(name+"["+strconv.Itoa(i)+"]", expects)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list
}

func (f *fields) oneOf(name string, values ...string) string {
	expects := strings.Join(values, " or ")
	s := f.text(name, expects)
	if !slices.Contains(values, s) {
		f.failExpected(name, expects)
	}
	return s
}

// integer decodes a required integer that is at least low and, unless high is
// zero, at most high.
func (f *fields) integer(name string, low, high int, expects string) int {
	n := low - 1
	f.unmarshal(name, expects, &n)
	if n < low || high > 0 && n > high {
		f.failExpected(name, expects)
	}
	return n
}

func (f *fields) rate(name string) float64 {
	const expects = "requests a second, a number that is not negative, 0 for no limit"
	var n float64
	f.unmarshal(name, expects, &n)
	if n < 0 {
		f.failExpected(name, expects)
	}
	return n
}

func (f *fields) boolean(name string) bool {
	var b bool
	f.unmarshal(name, "true or false", &b)
	return b
}

func (f *fields) duration(name string) time.Duration {
	const expects = "a duration such as 1s or 33ms that is not negative"
	text := f.text(name, expects)
	if text == "" {
		return 0
	}
	d, ok := parseDuration(text)
	if !ok {
		f.failExpected(name, expects)
	}
	return d
}

func (f *fields) address(name string) string {
	const expects = "an IP address and port such as 10.0.0.5:9001"
	text := f.text(name, expects)
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		f.failExpected(name, expects)
	}
	return text
}

// rejectUnknown fails with the first field that was not decoded.
func (f *fields) rejectUnknown() {
	if names := slices.Sorted(maps.Keys(f.raw)); len(names) > 0 {
		f.fail(ErrorField, names[0], fmt.Sprintf("is not known in this kind and schema version (%d unknown)", len(names)))
	}
}
