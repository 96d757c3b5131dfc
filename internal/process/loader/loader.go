// Package loader reads the settings of a process.
//
// Settings are one JSON file for each process. They hold what a process must
// know before it can reach anything else: its identity, its own addresses, its
// availability zone, the address of the platform and the shared secret. All
// else stands in records. Settings are checked as a whole; an error names every
// field that is wrong and what it expects.
//
// # Usage
//
//	s, err := loader.ReadEntry("/etc/magnoliafront/entry.json")
//	if err != nil {
//		// err lists the fields
//	}
package loader

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Common is the part of the settings that all processes have.
type Common struct {
	Identity         string `json:"identity"`
	AvailabilityZone string `json:"availability_zone"`
	// PeerListen is the IP address and port for other processes of the system.
	PeerListen string `json:"peer_listen"`
	// Platform is the URL of the object API.
	Platform string `json:"platform"`
	// SharedSecret authenticates the processes of the system to each other.
	SharedSecret string `json:"shared_secret"`
	// Metrics is the IP address and port of an agent's /metrics. An entry serves
	// them beside its callers.
	Metrics string `json:"metrics,omitempty"`
	// Peers are addresses of other entries that help a process that starts while
	// the platform is down.
	Peers []string `json:"peers,omitempty"`
}

// Entry is the settings of an entry.
type Entry struct {
	Common
	// Listen is the IP address and port for callers.
	Listen string `json:"listen"`
	// LeavingPause is the time for which a leaving entry still accepts callers,
	// so that the balancer can notice. It is a duration such as 5s.
	LeavingPause string `json:"leaving_pause,omitempty"`
}

// Pause returns LeavingPause as a duration.
func (e Entry) Pause() time.Duration { return duration(e.LeavingPause) }

// Agent is the settings of an agent.
type Agent struct {
	Common
	// Upstream is the name of the record of the upstream beside the agent.
	Upstream string `json:"upstream"`
	// UpstreamURL is the URL of the upstream itself.
	UpstreamURL string `json:"upstream_url"`
}

// Gateway is the settings of an entry that calls its upstreams directly.
type Gateway struct {
	Common
	// Listen is the IP address and port for callers, and ReadyListen that for the
	// balancer.
	Listen      string `json:"listen"`
	ReadyListen string `json:"ready_listen"`
	// GracePeriod is the time between the signal to stop and the end, a duration
	// such as 8s.
	GracePeriod string `json:"grace_period"`
	// NoticePeriod is the time for which a leaving entry still accepts callers,
	// until the balancer has noticed, a duration such as 3s.
	NoticePeriod string `json:"notice_period"`
	// LeavingLimit is the time after which an upstream that is known to leave must
	// get no more requests, a duration such as 2s.
	LeavingLimit string `json:"leaving_limit"`
	// RetryShare is the number of further attempts for each request, and
	// RetrySlack that of those on top, that all entries together may make.
	RetryShare float64 `json:"retry_share"`
	RetrySlack float64 `json:"retry_slack"`
}

// Grace returns GracePeriod as a duration.
func (g Gateway) Grace() time.Duration { return duration(g.GracePeriod) }

// Notice returns NoticePeriod as a duration.
func (g Gateway) Notice() time.Duration { return duration(g.NoticePeriod) }

// Leaving returns LeavingLimit as a duration.
func (g Gateway) Leaving() time.Duration { return duration(g.LeavingLimit) }

// duration returns zero for a text that is no duration.
func duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return d
}

// ReadGateway reads the settings of an entry that calls its upstreams directly.
func ReadGateway(path string) (Gateway, error) {
	var g Gateway
	if err := read(path, &g); err != nil {
		return g, err
	}
	return g, g.Check()
}

// ParseGateway reads the settings from the contents of a file.
func ParseGateway(contents []byte) (Gateway, error) {
	var g Gateway
	if err := decode(contents, &g); err != nil {
		return g, &Error{Op: "parse settings", Kind: ErrorSyntax, Err: err}
	}
	return g, g.Check()
}

// Check returns an error that names all wrong fields.
func (g Gateway) Check() error {
	var c check
	c.common(g.Common)
	c.address("listen", g.Listen)
	c.address("ready_listen", g.ReadyListen)
	if g.Metrics != "" {
		c.address("metrics", g.Metrics)
	}
	c.require("grace_period", g.Grace() > 0, "a duration such as 8s")
	c.require("leaving_limit", g.Leaving() > 0, "a duration such as 2s")
	c.require("notice_period", g.Notice() > 0 && g.Notice() < g.Grace(), "a duration such as 3s, shorter than the grace period")
	c.require("retry_share", g.RetryShare >= 0, "a number of attempts for each request, not below zero")
	c.require("retry_slack", g.RetrySlack >= 0, "a number of attempts, not below zero")
	return c.err()
}

// minSecret is the shortest shared secret in bytes.
const minSecret = 16

// ReadEntry reads the settings of an entry.
func ReadEntry(path string) (Entry, error) {
	var e Entry
	if err := read(path, &e); err != nil {
		return e, err
	}
	return e, e.Check()
}

// ReadAgent reads the settings of an agent.
func ReadAgent(path string) (Agent, error) {
	var a Agent
	if err := read(path, &a); err != nil {
		return a, err
	}
	return a, a.Check()
}

// ReadSecret reads the shared secret from the settings of any process.
func ReadSecret(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", &Error{Op: "read " + path, Kind: ErrorRead, Err: err}
	}
	var s Common
	if err := json.Unmarshal(data, &s); err != nil {
		return "", &Error{Op: "read " + path, Kind: ErrorSyntax, Err: err}
	}
	var c check
	c.require("shared_secret", len(s.SharedSecret) >= minSecret, "at least 16 bytes")
	return s.SharedSecret, c.err()
}

// Check returns an error that names all wrong fields.
func (e Entry) Check() error {
	var c check
	c.common(e.Common)
	c.address("listen", e.Listen)
	if e.LeavingPause != "" {
		d, err := time.ParseDuration(e.LeavingPause)
		c.require("leaving_pause", err == nil && d >= 0, "a duration such as 5s")
	}
	return c.err()
}

// Check returns an error that names all wrong fields.
func (a Agent) Check() error {
	var c check
	c.common(a.Common)
	c.require("upstream", a.Upstream != "", "the name of an upstream record")
	c.url("upstream_url", a.UpstreamURL)
	if a.Metrics != "" {
		c.address("metrics", a.Metrics)
	}
	return c.err()
}

func read(path string, to any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return &Error{Op: "read " + path, Kind: ErrorRead, Err: err}
	}
	if err := decode(data, to); err != nil {
		return &Error{Op: "read " + path, Kind: ErrorSyntax, Err: err}
	}
	return nil
}

func decode(data []byte, to any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("expects one JSON object and nothing after it")
	}
	return nil
}

// check collects the fields that are wrong.
type check struct {
	problems []string
}

func (c *check) common(s Common) {
	c.require("identity", s.Identity != "", "a name that no other process has")
	c.require("availability_zone", s.AvailabilityZone != "", "the name of a zone")
	c.address("peer_listen", s.PeerListen)
	c.url("platform", s.Platform)
	c.require("shared_secret", len(s.SharedSecret) >= minSecret, "at least 16 bytes")
	for _, p := range s.Peers {
		c.address("peers", p)
	}
}

func (c *check) address(field, text string) {
	host, _, err := net.SplitHostPort(text)
	c.require(field, err == nil && net.ParseIP(host) != nil, "an IP address and port such as 10.0.0.5:9001")
}

func (c *check) url(field, text string) {
	u, err := url.Parse(text)
	c.require(field, err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "", "a URL such as http://10.0.0.5:9100")
}

func (c *check) require(field string, ok bool, expects string) {
	if !ok {
		c.problems = append(c.problems, field+": expects "+expects)
	}
}

func (c *check) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return &Error{Op: "check settings", Kind: ErrorField, Err: errors.New(strings.Join(c.problems, "; "))}
}
