package dispatcher

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/registrar"
)

// updateUpstreams tells d about upstreams of one service with the given numbers of slots.
func updateUpstreams(d *Dispatcher, slots ...int) {
	var all []registrar.Upstream
	for i, n := range slots {
		all = append(all, registrar.Upstream{Name: fmt.Sprint("desk-", i), Service: "desk", Address: "10.0.0.1:80", AvailabilityZone: fmt.Sprint("zone-", n), Slots: n})
	}
	d.Step(testTime(), Event{Kind: EventUpstreams, Upstreams: all})
}

// An upstream kept the number of slots and the zone of its first object while it was
// registered, also after these were corrected.
func TestUpstreamHasValuesOfLastUpdate(t *testing.T) {
	d := newDispatcher()
	for _, slots := range []int{60_000, 8, 8, 0} {
		t.Run(fmt.Sprint(slots, " slots"), func(t *testing.T) {
			updateUpstreams(d, slots, 8)
			u := d.services["desk"].picker.Upstream("desk-0")
			is := is.New(t)
			is.Equal(u.Slots, slots)
			is.Equal(u.AvailabilityZone, fmt.Sprint("zone-", slots))
		})
	}
}

// The number of slots with which the dispatcher sizes the pool for long prompts was that
// of the first upstream, so that one object with another number changed the pool of all.
func TestOddSlotsOfOneUpstreamDoNotCountForAll(t *testing.T) {
	for _, c := range []struct {
		name  string
		slots []int
		want  int
	}{
		{"no upstream", nil, 0},
		{"equal numbers", []int{96, 96, 96}, 96},
		{"first unknown", []int{0, 96, 96}, 96},
		{"first huge", []int{65_535, 96, 96}, 96},
		{"last huge", []int{96, 96, 65_535}, 96},
		{"all unknown", []int{0, 0, 0}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDispatcher()
			updateUpstreams(d, c.slots...)
			is.New(t).Equal(d.services["desk"].fleet(1, 0).Slots, c.want)
		})
	}
}
