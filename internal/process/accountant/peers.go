package accountant

import (
	"slices"
	"time"
)

const (
	// silenceLimit is the time after which an entry that sends nothing no longer counts
	// as living. Entries send something at least once a second.
	silenceLimit = 2 * time.Second
	// silenceSettled is the silence after which an entry that runs out of reach has left
	// its rows in the store.
	silenceSettled = 2 * silenceLimit
	// pauseLimit is the time between two calls of Publish from which on this process was
	// paused, and what the others sent meanwhile still waits.
	pauseLimit = time.Second
	// recentWindows is the number of windows for which an entry that has become silent
	// may still be running out of reach.
	recentWindows = 8
)

// peer is what is known of another entry.
type peer struct {
	incarnation Incarnation
	// member is true if the store lists the entry. One that is not listed yet has just
	// started, or the list is old.
	member bool
	// heardAt is the time of its last update. Until the first one it is the time at which
	// the entry became known.
	heardAt time.Time
	// heard is true once an update has come. complete is the watermark of the last
	// complete update.
	heard     bool
	watermark int64
	complete  int64
	token     int64
	// heardToken is the highest token of a holder that the entry itself has heard.
	heardToken int64
	eligible   bool
	// ended is true once the entry has said that it ends, until it has started again.
	ended bool
}

// hear records that an update has come.
func (a *Accountant) hear(now time.Time, u Update) {
	p := a.peers[u.Sender.Entry]
	if p == nil {
		p = &peer{}
		a.peers[u.Sender.Entry] = p
	}
	if u.Sender.StartUnixMilli < p.incarnation.StartUnixMilli && a.isLiving(now, p) {
		// The message of an earlier start has been overtaken. If the later start does not
		// live, the time of day was set back before the entry started again.
		return
	}
	if u.Sender != p.incarnation {
		p.incarnation, p.watermark, p.complete, p.ended = u.Sender, 0, 0, false
	}
	p.heardAt, p.heard, p.token, p.heardToken, p.eligible = now, true, u.Token, u.HeardToken, u.Eligible
	p.watermark, p.ended = max(p.watermark, u.Watermark), p.ended || u.Final
	if u.Complete {
		p.complete = max(p.complete, u.Watermark)
	}
}

// SetMembers sets the other entries that the store lists. One that is new counts as living
// until it has been silent for a while.
func (a *Accountant) SetMembers(now time.Time, entries []string) {
	listed := make(map[string]struct{}, len(entries))
	for _, e := range entries {
		listed[e] = struct{}{}
		if a.peers[e] == nil {
			a.peers[e] = &peer{heardAt: now}
		}
	}
	for e, p := range a.peers {
		_, p.member = listed[e]
		if !p.member && !a.isLiving(now, p) {
			delete(a.peers, e)
		}
	}
}

// noticePause gives all entries time to be heard again after a pause of this process.
func (a *Accountant) noticePause(now time.Time) {
	if !a.lastPublish.IsZero() && now.Sub(a.lastPublish) >= pauseLimit {
		for _, p := range a.peers {
			if now.Sub(p.heardAt) < silenceLimit+now.Sub(a.lastPublish) {
				p.heardAt = now
			}
		}
	}
	a.lastPublish = now
}

func (a *Accountant) isLiving(now time.Time, p *peer) bool {
	return !p.ended && now.Sub(p.heardAt) < silenceLimit
}

// Living holds the other entries that live, have been heard and are listed by the store.
// One that is stopping is listed no more. Eligible are those of them that can do duties.
type Living struct {
	All      []string
	Eligible []string
}

// Living returns the other entries that live.
func (a *Accountant) Living(now time.Time) Living {
	var out Living
	for e, p := range a.peers {
		if !p.heard || !p.member || !a.isLiving(now, p) {
			continue
		}
		out.All = append(out.All, e)
		if p.eligible {
			out.Eligible = append(out.Eligible, e)
		}
	}
	slices.Sort(out.All)
	slices.Sort(out.Eligible)
	return out
}

// medianWatermark returns the median of the watermarks of the living entries, this one
// included; of two it is the lower one.
func (a *Accountant) medianWatermark(now time.Time) int64 {
	all := []int64{a.watermark}
	for _, p := range a.peers {
		if p.heard && a.isLiving(now, p) {
			all = append(all, p.watermark)
		}
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

// allComplete reports whether all living entries have sent their final rows of window w.
func (a *Accountant) allComplete(now time.Time, w int64) bool {
	for _, p := range a.peers {
		if a.isLiving(now, p) && p.complete < w {
			return false
		}
	}
	return true
}

// heardToken returns the highest token that a living holder has told this entry.
func (a *Accountant) heardToken(now time.Time) int64 {
	token := a.token
	for _, p := range a.peers {
		if a.isLiving(now, p) {
			token = max(token, p.token)
		}
	}
	return token
}

// IsCutOff reports whether this entry may run out of reach of the holder: it hears none, or
// another entry hears a later one.
func (a *Accountant) IsCutOff(now time.Time) bool {
	own := a.heardToken(now)
	if own == 0 {
		return true
	}
	for _, p := range a.peers {
		if p.heard && a.isLiving(now, p) && p.heardToken > own {
			return true
		}
	}
	return false
}

// silence is the state of the entries that have become silent lately. They may have ended,
// or run out of reach and count requests.
type silence int

const (
	// silenceNone means that there is none.
	silenceNone silence = iota
	// silenceNew means that one may still have to leave its rows in the store.
	silenceNew
	// silenceOld means that they have left their rows there if they run.
	silenceOld
)

// silence returns the state of the entries that have become silent lately.
func (a *Accountant) silence(now time.Time) silence {
	out := silenceNone
	for _, p := range a.peers {
		d := now.Sub(p.heardAt)
		switch {
		case p.ended || !p.member || d < silenceLimit || d >= recentWindows*a.settings.Window:
		case d < silenceSettled:
			return silenceNew
		default:
			out = silenceOld
		}
	}
	return out
}
