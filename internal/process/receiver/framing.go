package receiver

import (
	"net/http"

	"magnoliafront.dev/magnoliafront/internal/connection/carrier"
	"magnoliafront.dev/magnoliafront/internal/request/relayer"
)

// answerFraming returns the framing of the answer to a caller as far as it has been
// relayed. It may differ from that of the answer of the upstream.
func answerFraming(w http.ResponseWriter, req *http.Request) carrier.Framing {
	h := w.Header()
	switch {
	case !relayer.HasHead(h):
		return carrier.FramingNone
	case h.Get("Transfer-Encoding") == "identity":
		return carrier.FramingClose
	case h.Get("Content-Length") != "":
		return carrier.FramingLength
	case req.ProtoAtLeast(1, 1):
		return carrier.FramingChunks
	}
	return carrier.FramingClose
}
