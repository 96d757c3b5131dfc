package messenger

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// lineCodec encodes one JSON object per line and limits the length of the lines
// that it reads.
type lineCodec struct {
	// maxBytes returns the limit for the next line.
	maxBytes func() int
	// refused is called for each message that cannot be read. It may be nil.
	refused func()
}

// WriteObject implements [jsonrpc2.ObjectCodec].
func (lineCodec) WriteObject(w io.Writer, v any) error {
	return json.NewEncoder(w).Encode(v)
}

// ReadObject implements [jsonrpc2.ObjectCodec].
func (l lineCodec) ReadObject(r *bufio.Reader, v any) error {
	line, err := readLine(r, l.maxBytes())
	if err == nil {
		err = json.Unmarshal(line, v)
	} else if len(line) == 0 {
		// The peer closed the connection at a message boundary.
		return err
	}
	if err != nil && l.refused != nil {
		l.refused()
	}
	return err
}

// readLine reads up to and including a line feed, at most maxBytes. On an error it also
// returns the bytes read so far.
func readLine(r *bufio.Reader, maxBytes int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxBytes {
			return line, &Error{Op: "read", Kind: ErrorProtocol, Err: errors.Errorf("message over %d bytes", maxBytes)}
		}
		if err == nil || !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}
