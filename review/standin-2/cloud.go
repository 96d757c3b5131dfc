package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// cloud is a stand-in for the platform's API for singleton duties. It refuses a call whose
// fencing token is lower than one that it has seen for the same duty and subject.
type cloud struct {
	addr string
	rec  *record
	// bySubject holds the highest token seen for each duty and subject.
	mu        sync.Mutex
	bySubject map[string]int64
	calls     []dutyCall
}

// dutyCall is a call that the platform has got.
type dutyCall struct {
	at       time.Time
	duty     string
	subject  string
	holder   string
	token    int64
	accepted bool
}

func newCloud(rec *record) *cloud {
	c := &cloud{rec: rec, bySubject: map[string]int64{}}
	l := listen()
	c.addr = l.Addr().String()
	go serve(l, c)
	return c
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		WindowID int64          `json:"window_id"`
		Counts   map[string]int `json:"counts"`
		Service  string         `json:"service"`
		Zone     string         `json:"zone"`
		Desired  int            `json:"desired"`
	}
	token, err := strconv.ParseInt(r.Header.Get("Magnoliafront-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call := dutyCall{at: time.Now(), holder: r.Header.Get("Magnoliafront-Lease-Holder"), token: token}
	switch r.URL.Path {
	case "/scale":
		call.duty, call.subject = "scale", body.Service+"/"+body.Zone
	case "/usage":
		call.duty, call.subject = "usage", "windows"
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	c.mu.Lock()
	key := call.duty + " " + call.subject
	call.accepted = token >= c.bySubject[key]
	c.bySubject[key] = max(c.bySubject[key], token)
	c.calls = append(c.calls, call)
	status := http.StatusOK
	if !call.accepted {
		status = http.StatusConflict
	}
	c.rec.line("cloud  %s %s by %s, token %d, desired %d, window %d: %d", call.duty, call.subject, call.holder, token, body.Desired, body.WindowID, status)
	c.mu.Unlock()
	w.WriteHeader(status)
}

// acceptedCalls returns the calls of a duty that were accepted, in their order.
func (c *cloud) acceptedCalls(duty string) []dutyCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []dutyCall
	for _, call := range c.calls {
		if call.duty == duty && call.accepted {
			out = append(out, call)
		}
	}
	return out
}
