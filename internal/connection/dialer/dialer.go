// Package dialer maintains a connection to one peer process.
//
// A [Dialer] runs a goroutine that dials, reports the connection, waits until it
// ends and dials again. It retries with exponential backoff and jitter, so that
// the peers of a restarted process do not all reconnect at the same time.
//
// # Usage
//
//	d := dialer.New(dialer.Options{Address: a, Clock: c, OnConnect: f})
//	defer d.Stop()
package dialer

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Options configures a dialer.
type Options struct {
	// Address is the host and port of the peer.
	Address   string
	Clock     timer.Clock
	Messenger messenger.Options
	// OnConnect is called on the dialer's goroutine with each new connection.
	// The end of the connection is reported to Messenger.Handle.
	OnConnect func(*messenger.Conn)
	// OnDialError is called on the dialer's goroutine when Dial fails. It may be
	// nil.
	OnDialError func(error)
}

// Dialer maintains one connection.
type Dialer struct {
	options Options
	cancel  context.CancelFunc
	done    chan struct{}
}

// New starts a dialer. The caller must call Stop to release it.
func New(o Options) *Dialer {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Dialer{options: o, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(d.done)
		d.dialLoop(ctx)
	}()
	return d
}

// Stop closes the connection and waits until the goroutine has ended. Calling it
// from OnConnect or OnDialError is a deadlock.
func (d *Dialer) Stop() {
	d.cancel()
	<-d.done
}

// dialLoop dials until ctx ends. The seed of the jitter is a hash of the local
// identity and the peer's address, so that runs are repeatable.
func (d *Dialer) dialLoop(ctx context.Context) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(d.options.Messenger.Self.Identity + " " + d.options.Address))
	random := rand.New(rand.NewPCG(h.Sum64(), 1))
	backoff := minBackoff
	for ctx.Err() == nil {
		c, err := messenger.Dial(ctx, d.options.Address, d.options.Messenger)
		if err == nil {
			backoff = minBackoff
			d.options.OnConnect(c)
			select {
			case <-c.Done():
			case <-ctx.Done():
				c.Close()
				return
			}
		} else if d.options.OnDialError != nil {
			d.options.OnDialError(err)
		}
		if !d.sleep(ctx, backoff/2+time.Duration(random.Int64N(int64(backoff)))) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// sleep waits for the given duration. It returns false if ctx ends first.
func (d *Dialer) sleep(ctx context.Context, duration time.Duration) bool {
	wake, stop := d.options.Clock.After(duration)
	defer stop()
	select {
	case <-wake:
		return true
	case <-ctx.Done():
		return false
	}
}
