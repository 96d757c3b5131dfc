// Package leaser holds the lease of a duty that one entry at a time has.
//
// A [Leaser] is an elector on the platform's store with the rules of a duty. Its
// fencing token rises with each acquisition. An entry whose lease ended, or that gave it
// up because it could not do the duty, leaves it to the others for twice the duration of
// the lease, so that two entries never hold it by turns.
//
// Each call to the store is priced, and a candidate makes one or two in each duration of
// the lease. Therefore only the first [Candidates] of the living entries by rendezvous
// hashing are candidates; see [IsCandidate]. An entry that hears from none of the others
// ranks first, so that the duty is not left undone while the others are down.
//
// A duty checks [Leaser.Held] before each call and ends the call before
// [Leaser.Remaining] has passed. [Pace] keeps the calls within the rate of the duty.
//
// # Usage
//
//	l := leaser.New(leaser.Options{Duty: "usage", Identity: "entry-1", Started: started, Duration: 3 * time.Second, Store: store, Clock: c})
//	defer l.Stop()
//	if token, ok := l.Held(); ok {
//		// make a call with token, or l.GiveUp("no answer of the API")
//	}
package leaser

import (
	"hash/fnv"
	"strconv"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/elector"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// Candidates is the number of living entries that want the lease of a duty.
	Candidates = 3
	// cooldownFactor is the ratio of the cool-down after a lease to its duration.
	cooldownFactor = 2
)

// Options configures a leaser.
type Options struct {
	// Duty is the name of the duty and of its lease.
	Duty string
	// Identity is the identity of this entry, and Started the time at which its process
	// started. Together they identify the holder.
	Identity string
	Started  time.Time
	// Duration is the duration of the lease.
	Duration time.Duration
	Store    accessor.Store
	Clock    timer.Clock
	// WantsLease reports whether this entry is a candidate. It must not block. Nil means
	// always.
	WantsLease func() bool
	// Changed is called after the lease has been won or lost. It must not block. It may
	// be nil.
	Changed func()
}

// Leaser holds the lease of one duty for one entry. Create it with [New].
type Leaser struct {
	options Options
	elector *elector.Elector
	// cause is the reason for the end of the current term, nil if it is not known.
	cause atomic.Pointer[string]
	// givenUpAt is the time in Unix nanoseconds at which the lease was last given up,
	// zero if it never was.
	givenUpAt atomic.Int64
	// token is the token of the current or the last term, for the log. It is used only by
	// the goroutine of the elector.
	token int64
}

// New starts a leaser.
func New(o Options) *Leaser {
	l := &Leaser{options: o}
	ready := make(chan struct{})
	l.elector = elector.New(elector.Options{
		Name: o.Duty, Holder: o.Identity + "@" + strconv.FormatInt(o.Started.UnixNano(), 10),
		Duration: o.Duration, Cooldown: cooldownFactor * o.Duration,
		Store: o.Store, Clock: o.Clock, WantsLease: o.WantsLease,
		Changed: func(lease elector.Lease) {
			<-ready
			l.logChange(lease)
			if o.Changed != nil {
				o.Changed()
			}
		},
	})
	close(ready)
	return l
}

// Held returns the fencing token and whether this entry holds the lease now. Call it
// before each action.
func (l *Leaser) Held() (token int64, held bool) { return l.elector.Held() }

// Remaining returns the time in which this entry may still act, zero if it does not hold
// the lease.
func (l *Leaser) Remaining() time.Duration {
	return l.elector.Lease().Remaining(l.options.Clock.Now())
}

// GiveUp ends the lease of this entry at once, because of cause.
func (l *Leaser) GiveUp(cause string) {
	l.givenUpAt.Store(l.options.Clock.Now().UnixNano())
	l.cause.Store(&cause)
	l.elector.GiveUp()
}

// GaveUpWithin reports whether this entry gave up the lease within the last time d.
func (l *Leaser) GaveUpWithin(d time.Duration) bool {
	at := l.givenUpAt.Load()
	return at != 0 && l.options.Clock.Now().Sub(time.Unix(0, at)) < d
}

// RaiseToken makes the token of this entry higher than token, which another holder has
// used. If it is not, the lease ends and is acquired anew.
func (l *Leaser) RaiseToken(token int64) {
	cause := "a token that is as high was used before"
	l.cause.Store(&cause)
	l.elector.RaiseNumber(token)
}

// Stop releases the lease and waits until the goroutine of the elector has ended.
func (l *Leaser) Stop() {
	cause := "stopped"
	l.cause.Store(&cause)
	l.elector.Stop()
}

// logChange logs that the lease was won or lost.
func (l *Leaser) logChange(lease elector.Lease) {
	if lease.FencingNumber != 0 {
		l.token = lease.FencingNumber
		l.cause.Store(nil)
		klog.InfoS("lease won", "duty", l.options.Duty, "token", l.token, "identity", l.options.Identity)
		return
	}
	cause := "not renewed in time, or taken by another entry"
	if c := l.cause.Swap(nil); c != nil {
		cause = *c
	}
	klog.InfoS("lease lost", "duty", l.options.Duty, "token", l.token, "identity", l.options.Identity, "cause", cause)
}

// IsCandidateAmong reports whether self is a candidate if others live and the eligible of
// them can do duties. An entry that is not eligible itself is a candidate only if too few
// others are.
func IsCandidateAmong(duty, self string, isEligible bool, others, eligible []string) bool {
	switch {
	case isEligible:
		return IsCandidate(duty, self, eligible)
	case len(eligible) >= Candidates:
		return false
	}
	return IsCandidate(duty, self, others)
}

// IsCandidate reports whether self ranks among the first [Candidates] of the living
// entries for the duty. It does not matter whether living contains self.
func IsCandidate(duty, self string, living []string) bool {
	own, higher := rank(duty, self), 0
	for _, entry := range living {
		if r := rank(duty, entry); r > own || r == own && entry > self {
			higher++
		}
	}
	return higher < Candidates
}

// rank returns the weight of an entry for a duty in rendezvous hashing.
func rank(duty, entry string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(entry + "/" + duty))
	// The high bits of FNV differ little between similar short names, so they are mixed.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
