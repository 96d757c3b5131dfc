package driver

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/matryer/is"
)

// A trace comes from a user or from a recording. Whatever it holds, reading must end
// with an error or with a trace that can be written and read again.
func FuzzReadTrace(f *testing.F) {
	paths, err := filepath.Glob("../../../testdata/traces/*.jsonl")
	is.New(f).NoErr(err)
	for _, path := range paths {
		data, err := os.ReadFile(path)
		is.New(f).NoErr(err)
		f.Add(data)
	}
	f.Add([]byte(traceHeader + `{"type":"flow","class":"chat","model":"m","at":"290y","for":"1s","rate":1}`))
	f.Add([]byte(traceHeader + `{"type":"flow","class":"chat","model":"m","for":"1s","rate":9,"answer_tokens":-2,"max_answer_tokens":9223372036854775807}`))
	f.Add([]byte(traceHeader + `{"type":"flow","class":"chat","model":"m","at":"2000000h","for":"1500000h","rate":1e-3}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		trace, err := ReadTrace(bytes.NewReader(data))
		// A trace of a million requests takes seconds to write and to read again.
		if err != nil || len(trace.Requests) > 1000 {
			return
		}
		is := is.New(t)
		var text bytes.Buffer
		is.NoErr(trace.Write(&text))
		again, err := ReadTrace(&text)
		is.NoErr(err)
		is.True(reflect.DeepEqual(again.Faults, trace.Faults))
		is.Equal(len(again.Requests), len(trace.Requests))
	})
}
