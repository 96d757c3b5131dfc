// Package loader reads and validates the settings of a process.
//
// Each process has one JSON file of settings. It contains what the process needs
// before it can connect to other processes: its identity, its own addresses, its
// availability zone, the URL of the platform and the shared secret. All other
// configuration is stored in records. A validation error lists every invalid field
// with the expected value.
//
// # Usage
//
//	s, err := loader.ReadEntry("/etc/magnoliafront/entry.json")
//	if err != nil {
//		// err lists all invalid fields.
//	}
package loader

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Common contains the settings that all processes have.
type Common struct {
	// Identity is the unique name of the process.
	Identity         string `json:"identity"`
	AvailabilityZone string `json:"availability_zone"`
	// PeerListen is the IP address and port on which the process accepts connections
	// from other processes of the system.
	PeerListen string `json:"peer_listen"`
	// Platform is the URL of the object API.
	Platform string `json:"platform"`
	// SharedSecret authenticates the processes of the system to each other.
	SharedSecret string `json:"shared_secret"`
	// Metrics is the IP address and port on which an agent, or an entry that calls
	// its upstreams directly, serves /metrics. Any other entry serves it on Listen.
	Metrics string `json:"metrics,omitempty"`
	// Peers are the addresses of other entries, which a process contacts while it
	// finds too few live entries, such as when it starts while the platform is down.
	Peers []string `json:"peers,omitempty"`
}

// Entry contains the settings of an entry.
type Entry struct {
	Common
	// Listen is the IP address and port for callers.
	Listen string `json:"listen"`
	// LeavingPause is the time for which a leaving entry still accepts requests, so
	// that the load balancer can detect that it is leaving. It is a duration such as
	// 5s.
	LeavingPause string `json:"leaving_pause,omitempty"`
}

// LeavingPauseDuration returns LeavingPause as a duration.
func (e Entry) LeavingPauseDuration() time.Duration { return parseDuration(e.LeavingPause) }

// Agent contains the settings of an agent.
type Agent struct {
	Common
	// Upstream is the name of the record of the upstream that the agent serves.
	Upstream string `json:"upstream"`
	// UpstreamURL is the URL at which the agent reaches the upstream.
	UpstreamURL string `json:"upstream_url"`
}

// Gateway contains the settings of an entry that calls its upstreams directly.
type Gateway struct {
	Common
	// Listen is the IP address and port for callers, and ReadyListen the IP address
	// and port for the readiness checks of the load balancer.
	Listen      string `json:"listen"`
	ReadyListen string `json:"ready_listen"`
	// GracePeriod is the time between the stop signal and the end of the process, a
	// duration such as 8s.
	GracePeriod string `json:"grace_period"`
	// NoticePeriod is the time for which a leaving entry still accepts requests, so
	// that the load balancer can detect that it is leaving, like [Entry.LeavingPause].
	// It is a duration such as 3s.
	NoticePeriod string `json:"notice_period"`
	// LeavingLimit is the time after which an upstream that has announced that it is
	// leaving must get no more requests, a duration such as 2s.
	LeavingLimit string `json:"leaving_limit"`
	// StallLimit is the time for which a wait for changes of the store may be stalled
	// unnoticed, a duration such as 3s. Empty means the minimum, about 2.6 s. The
	// longer it is, the fewer calls the store gets.
	StallLimit string `json:"stall_limit,omitempty"`
	// RetryShare and RetrySlack are the retry budget of all entries together:
	// RetryShare retries per request and RetrySlack additional ones.
	RetryShare float64 `json:"retry_share"`
	RetrySlack float64 `json:"retry_slack"`
	// MemoryLimitMB is the memory in megabytes that the process may use. Zero means that
	// it is not known.
	MemoryLimitMB int `json:"memory_limit_mb,omitempty"`
	// Duties are the calls to the platform's API that one entry at a time makes. Nil means
	// that there are none.
	Duties *Duties `json:"duties,omitempty"`
}

// MemoryLimitBytes returns MemoryLimitMB in bytes, zero if it is not known.
func (g Gateway) MemoryLimitBytes() int64 { return int64(g.MemoryLimitMB) << 20 }

// GracePeriodDuration returns GracePeriod as a duration.
func (g Gateway) GracePeriodDuration() time.Duration { return parseDuration(g.GracePeriod) }

// NoticePeriodDuration returns NoticePeriod as a duration.
func (g Gateway) NoticePeriodDuration() time.Duration { return parseDuration(g.NoticePeriod) }

// StallLimitDuration returns StallLimit as a duration, zero if it is empty.
func (g Gateway) StallLimitDuration() time.Duration { return parseDuration(g.StallLimit) }

// LeavingLimitDuration returns LeavingLimit as a duration.
func (g Gateway) LeavingLimitDuration() time.Duration { return parseDuration(g.LeavingLimit) }

// parseDuration returns the duration that text denotes, or zero if it is invalid.
func parseDuration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return d
}

// ReadGateway reads and validates the settings of an entry that calls its upstreams
// directly.
func ReadGateway(path string) (Gateway, error) {
	var g Gateway
	if err := read(path, &g); err != nil {
		return g, err
	}
	return g, g.Check()
}

// ParseGateway parses and validates the contents of a settings file.
func ParseGateway(contents []byte) (Gateway, error) {
	var g Gateway
	if err := decode(contents, &g); err != nil {
		return g, &Error{Op: "parse settings", Kind: ErrorSyntax, Err: err}
	}
	return g, g.Check()
}

// Check returns an error that lists all invalid fields.
func (g Gateway) Check() error {
	var c fieldChecker
	c.common(g.Common)
	c.address("listen", g.Listen)
	c.address("ready_listen", g.ReadyListen)
	if g.Metrics != "" {
		c.address("metrics", g.Metrics)
	}
	c.require("grace_period", g.GracePeriodDuration() > 0, fmt.Sprintf("a duration such as 8s, got %q", g.GracePeriod))
	c.require("leaving_limit", g.LeavingLimitDuration() > 0, fmt.Sprintf("a duration such as 2s, got %q", g.LeavingLimit))
	c.require("stall_limit", g.StallLimit == "" || g.StallLimitDuration() > 0, fmt.Sprintf("a duration such as 3s, got %q", g.StallLimit))
	c.require("notice_period", g.NoticePeriodDuration() > 0 && g.NoticePeriodDuration() < g.GracePeriodDuration(),
		fmt.Sprintf("a duration such as 3s, shorter than the grace period %q, got %q", g.GracePeriod, g.NoticePeriod))
	c.require("retry_share", g.RetryShare >= 0, fmt.Sprintf("a number of attempts for each request, not below zero, got %v", g.RetryShare))
	c.require("memory_limit_mb", g.MemoryLimitMB == 0 || g.MemoryLimitMB >= minMemoryLimitMB, fmt.Sprintf("at least %d, got %d", minMemoryLimitMB, g.MemoryLimitMB))
	c.require("retry_slack", g.RetrySlack >= 0, fmt.Sprintf("a number of attempts, not below zero, got %v", g.RetrySlack))
	if g.Duties != nil {
		c.duties(*g.Duties)
	}
	return c.err()
}

// minMemoryLimitMB is the least memory of an entry: what an idle process uses, and as
// much for answers.
const minMemoryLimitMB = 64

// minSecretBytes is the minimum length of the shared secret.
const minSecretBytes = 16

// ReadEntry reads and validates the settings of an entry.
func ReadEntry(path string) (Entry, error) {
	var e Entry
	if err := read(path, &e); err != nil {
		return e, err
	}
	return e, e.Check()
}

// ReadAgent reads and validates the settings of an agent.
func ReadAgent(path string) (Agent, error) {
	var a Agent
	if err := read(path, &a); err != nil {
		return a, err
	}
	return a, a.Check()
}

// ReadSecret reads the shared secret from the settings of any process. The other
// fields are not validated.
func ReadSecret(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", &Error{Op: "read " + path, Kind: ErrorRead, Err: err}
	}
	var s Common
	if err := json.Unmarshal(data, &s); err != nil {
		return "", &Error{Op: "read " + path, Kind: ErrorSyntax, Err: err}
	}
	var c fieldChecker
	c.require("shared_secret", len(s.SharedSecret) >= minSecretBytes, fmt.Sprintf("at least %d bytes, got %d", minSecretBytes, len(s.SharedSecret)))
	return s.SharedSecret, c.err()
}

// Check returns an error that lists all invalid fields.
func (e Entry) Check() error {
	var c fieldChecker
	c.common(e.Common)
	c.address("listen", e.Listen)
	if e.LeavingPause != "" {
		d, err := time.ParseDuration(e.LeavingPause)
		c.require("leaving_pause", err == nil && d >= 0, fmt.Sprintf("a duration such as 5s, got %q", e.LeavingPause))
	}
	return c.err()
}

// Check returns an error that lists all invalid fields.
func (a Agent) Check() error {
	var c fieldChecker
	c.common(a.Common)
	c.require("upstream", a.Upstream != "", "the name of an upstream record")
	c.url("upstream_url", a.UpstreamURL)
	if a.Metrics != "" {
		c.address("metrics", a.Metrics)
	}
	return c.err()
}

func read(path string, settings any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return &Error{Op: "read " + path, Kind: ErrorRead, Err: err}
	}
	if err := decode(data, settings); err != nil {
		return &Error{Op: "read " + path, Kind: ErrorSyntax, Err: err}
	}
	return nil
}

// decode decodes one JSON object and rejects unknown fields and trailing data.
func decode(data []byte, settings any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(settings); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("expects one JSON object and nothing after it")
	}
	return nil
}

// fieldChecker collects a problem for each invalid field.
type fieldChecker struct {
	problems []string
}

func (c *fieldChecker) common(s Common) {
	c.require("identity", s.Identity != "", "a name that no other process has")
	c.require("availability_zone", s.AvailabilityZone != "", "the name of a zone")
	c.address("peer_listen", s.PeerListen)
	c.url("platform", s.Platform)
	c.require("shared_secret", len(s.SharedSecret) >= minSecretBytes, fmt.Sprintf("at least %d bytes, got %d", minSecretBytes, len(s.SharedSecret)))
	for _, p := range s.Peers {
		c.address("peers", p)
	}
}

func (c *fieldChecker) address(field, text string) {
	host, _, err := net.SplitHostPort(text)
	c.require(field, err == nil && net.ParseIP(host) != nil, fmt.Sprintf("an IP address and port such as 10.0.0.5:9001, got %q", text))
}

func (c *fieldChecker) url(field, text string) {
	u, err := url.Parse(text)
	c.require(field, err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "", "a URL such as http://10.0.0.5:9100")
}

func (c *fieldChecker) require(field string, ok bool, expects string) {
	if !ok {
		c.problems = append(c.problems, field+": expects "+expects)
	}
}

func (c *fieldChecker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return &Error{Op: "check settings", Kind: ErrorField, Err: errors.New(strings.Join(c.problems, "; "))}
}
