package merger

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"time"

	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

//go:embed page.html
var pageTemplate string

const (
	// maxBars and maxRows limit the size of the page, so that a browser on a laptop
	// scrolls it smoothly.
	maxBars = 4000
	maxRows = 3000
	// The following sizes are in pixels. pageWidth is the width of the drawing, and
	// labelWidth the part of it for the names of the lanes.
	pageWidth   = 1240
	labelWidth  = 170
	barHeight   = 9
	rowHeight   = 12
	lanePadding = 8
)

// page holds the data of the template page.html.
type page struct {
	Title   string
	Story   string
	Width   int
	Height  int
	Left    int
	Lanes   []lane
	Bars    []bar
	Links   []link
	Marks   []mark
	Ticks   []tick
	Rows    []row
	Omitted string
}

// lane is the area of the drawing that shows one process.
type lane struct {
	Name      string
	Y, Height int
	TextY     int
	Zone      string
}

// bar shows a span.
type bar struct {
	X, W  float64
	Y, H  int
	Class string
	Title string
}

// link connects the sending of an attempt at its entry with its arrival at the
// agent.
type link struct{ X1, X2, Y1, Y2 float64 }

// mark is a vertical line at the time of an event that belongs to no bar.
type mark struct {
	X      float64
	Y1, Y2 int
	Class  string
	Title  string
}

// tick is a label of the time axis.
type tick struct {
	X    float64
	Text string
}

// row is a row of the table of events.
type row struct{ Time, Process, Kind, Details string }

// layout computes the positions of the elements of a page.
type layout struct {
	start               time.Time
	pixelsPerNanosecond float64
	page                page
	// laneTops holds the top of the lane of each process in pixels, and rowEnds the
	// end of the last bar in each row of the lane of each process.
	laneTops map[string]int
	rowEnds  map[string][]time.Time
}

// WriteHTML writes events as a self-contained HTML page with one lane for each
// process. A bar shows a request at its entry or a phase of an attempt at an
// agent. The page begins with explanation unless that is nil.
func WriteHTML(w io.Writer, title string, events []tracer.Event, explanation *Explanation) error {
	t, err := template.New("page").Parse(pageTemplate)
	if err != nil {
		return &Error{Op: "write", Kind: ErrorWrite, Err: err}
	}
	l := layout{page: page{Title: title, Width: pageWidth, Left: labelWidth}, rowEnds: map[string][]time.Time{}}
	if explanation != nil {
		var b strings.Builder
		if _, err := explanation.WriteTo(&b); err != nil {
			return err
		}
		l.page.Story = b.String()
	}
	if len(events) > 0 {
		l.draw(events)
	}
	if err := t.Execute(w, l.page); err != nil {
		return &Error{Op: "write", Kind: ErrorWrite, Err: err}
	}
	return nil
}

// draw adds the drawing and the table of events to the page.
func (l *layout) draw(events []tracer.Event) {
	l.start = timeOf(events[0])
	length := max(timeOf(events[len(events)-1]).Sub(l.start), time.Millisecond)
	l.pixelsPerNanosecond = float64(pageWidth-labelWidth-10) / float64(length)
	spans := Spans(events)
	if len(spans) > maxBars {
		l.page.Omitted = fmt.Sprintf("The drawing shows the first %d of %d spans. Filter by request, class or time to see the others.", maxBars, len(spans))
		spans = spans[:maxBars]
	}
	rows := l.assignRows(spans)
	l.placeLanes(events)
	for i, s := range spans {
		l.addBar(s, rows[i])
	}
	l.addLinksAndMarks(events)
	for i := range 9 {
		d := time.Duration(float64(length) * float64(i) / 8)
		l.page.Ticks = append(l.page.Ticks, tick{X: l.x(l.start.Add(d)), Text: "+" + d.Round(time.Microsecond*100).String()})
	}
	for _, e := range events[:min(len(events), maxRows)] {
		l.page.Rows = append(l.page.Rows, row{
			Time: fmt.Sprintf("%+.4f", timeOf(e).Sub(l.start).Seconds()), Process: e.Process, Kind: string(e.Kind), Details: formatFields(e),
		})
	}
	if len(events) > maxRows {
		l.page.Omitted += fmt.Sprintf(" The table shows the first %d of %d events.", maxRows, len(events))
	}
}

// x returns the horizontal position of a time.
func (l *layout) x(t time.Time) float64 {
	return labelWidth + l.pixelsPerNanosecond*float64(t.Sub(l.start))
}

// assignRows returns for each span a row of its lane in which it overlaps no other
// bar. The spans of one attempt are in the same row.
func (l *layout) assignRows(spans []Span) []int {
	out := make([]int, len(spans))
	assigned := map[spanKey]int{}
	for i, s := range spans {
		k := spanKey{s.Process, s.Request, s.Attempt}
		ends := l.rowEnds[s.Process]
		row, ok := assigned[k]
		if !ok {
			row = slices.IndexFunc(ends, func(t time.Time) bool { return !t.After(s.From) })
		}
		if row < 0 {
			row = len(ends)
			ends = append(ends, s.To)
		}
		if s.To.After(ends[row]) {
			ends[row] = s.To
		}
		l.rowEnds[s.Process], assigned[k], out[i] = ends, row, row
	}
	return out
}

// placeLanes places the lanes from top to bottom: first the processes that admit
// requests, then the others, each sorted by name.
func (l *layout) placeLanes(events []tracer.Event) {
	var entries, others []string
	seen, zones := map[string]bool{}, map[string]string{}
	for _, e := range events {
		zones[e.Process] = e.AvailabilityZone
		if e.Kind == tracer.KindAdmitted && !slices.Contains(entries, e.Process) {
			entries = append(entries, e.Process)
		}
		if !seen[e.Process] {
			seen[e.Process] = true
			others = append(others, e.Process)
		}
	}
	slices.Sort(entries)
	slices.Sort(others)
	others = slices.DeleteFunc(others, func(p string) bool { return slices.Contains(entries, p) })
	l.laneTops = map[string]int{}
	y := 24
	for _, p := range append(entries, others...) {
		h := max(1, len(l.rowEnds[p]))*rowHeight + 2*lanePadding
		l.laneTops[p] = y
		l.page.Lanes = append(l.page.Lanes, lane{Name: p, Y: y, Height: h, TextY: y + 16, Zone: zones[p]})
		y += h + 4
	}
	l.page.Height = y + 4
}

func (l *layout) addBar(s Span, row int) {
	b := bar{
		X: l.x(s.From), W: max(1.5, l.pixelsPerNanosecond*float64(s.Duration())),
		Y: l.laneTops[s.Process] + lanePadding + row*rowHeight, H: barHeight, Class: string(s.Phase),
		Title: fmt.Sprintf("%s attempt %d, class %s (tier %d): %s for %v", s.Request, s.Attempt, s.Class, s.Tier, s.Phase, roundDuration(s.Duration())),
	}
	if s.Open {
		b.Class += " open"
		b.Title += ", not ended"
	}
	l.page.Bars = append(l.page.Bars, b)
}

// addLinksAndMarks adds the links from entries to agents, and the marks of events
// that belong to no bar.
func (l *layout) addLinksAndMarks(events []tracer.Event) {
	sent := map[spanKey]tracer.Event{}
	for _, e := range events {
		k := spanKey{request: e.Request, attempt: e.Attempt}
		y := l.laneTops[e.Process]
		switch e.Kind {
		case tracer.KindSent:
			sent[k] = e
		case tracer.KindQueued:
			if s, ok := sent[k]; ok && len(l.page.Links) < maxBars {
				l.page.Links = append(l.page.Links, link{X1: l.x(timeOf(s)), Y1: float64(l.laneTops[s.Process] + lanePadding), X2: l.x(timeOf(e)), Y2: float64(y + lanePadding)})
			}
		case tracer.KindPreempted, tracer.KindShed, tracer.KindLost, tracer.KindViolation, tracer.KindRefused,
			tracer.KindRevisionInForce, tracer.KindMemberGone, tracer.KindMemberLeaving, tracer.KindProcessStarted,
			tracer.KindProcessStopped, tracer.KindFaultBegan, tracer.KindFaultEnded:
			if len(l.page.Marks) < maxBars {
				l.page.Marks = append(l.page.Marks, mark{
					X: l.x(timeOf(e)), Y1: y, Y2: y + max(1, len(l.rowEnds[e.Process]))*rowHeight + 2*lanePadding,
					Class: string(e.Kind), Title: string(e.Kind) + " " + formatFields(e),
				})
			}
		}
	}
}
