package reader

import (
	"context"
	"net/http"
	"time"

	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// probeTimeout is the timeout of one health check of an upstream.
	probeTimeout = time.Second
	// silenceTimeout is the timeout of the check of an upstream that has not answered one
	// within probeTimeout but accepts connections. A sound one may be silent for a second
	// or so.
	silenceTimeout = 3 * time.Second
	// probeInterval is the time between two health checks of an upstream that is
	// down.
	probeInterval = 500 * time.Millisecond
)

// Probe checks in a goroutine of its own whether an upstream that was down is
// reachable again.
type Probe struct {
	cancel context.CancelFunc
}

// NewProbe starts a probe of the upstream at url. When the upstream responds, the
// probe calls onReachable once and ends.
func NewProbe(client *http.Client, url string, c timer.Clock, onReachable func()) *Probe {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		for {
			wake, stop := c.After(probeInterval)
			select {
			case <-wake:
			case <-ctx.Done():
				stop()
				return
			}
			if ping(ctx, client, url, probeTimeout) == nil {
				onReachable()
				return
			}
		}
	}()
	return &Probe{cancel: cancel}
}

// Stop cancels the probe. It doesn't wait for a running call of onReachable.
func (p *Probe) Stop() { p.cancel() }

// ping returns nil if the upstream at url responds to a request within a time. It
// accepts any status, since the paths of health checks differ between engines.
func ping(ctx context.Context, client *http.Client, url string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/health", nil)
	if err != nil {
		return err
	}
	// No request may find a kept connection.
	req.Close = true
	resp, err := client.Do(req)
	if err != nil {
		if sentErrorKind(err) == ErrorMalformed {
			// The upstream responds, though not in valid HTTP.
			return nil
		}
		return err
	}
	return resp.Body.Close()
}
