package loader

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Limits of the settings of the duties.
const (
	// minLeaseDuration leaves a renewal, which is due after a third of the lease, time for
	// a slow store. maxLeaseDuration bounds the time without a holder.
	minLeaseDuration = time.Second
	maxLeaseDuration = time.Minute
	minUsageWindow   = time.Second
	maxUsageWindow   = time.Hour
	// maxCallsPerSecond is far above what the duties need.
	maxCallsPerSecond = 1000
)

// Duties contains the settings of the calls to the platform's API that one entry at a
// time makes, as the holder of a lease.
type Duties struct {
	// API is the URL of the API.
	API string `json:"api"`
	// Usage and Scale enable the usage reports and the scale orders.
	Usage Switch `json:"usage"`
	Scale Switch `json:"scale"`
	// CallsPerSecond is the limit for the calls of all entries together.
	CallsPerSecond float64 `json:"calls_per_second"`
	// LeaseDuration, UsageWindow and UsageDue are durations such as 3000ms. The usage of
	// a window is due UsageDue after its end.
	LeaseDuration string `json:"lease_duration"`
	UsageWindow   string `json:"usage_window"`
	UsageDue      string `json:"usage_due"`
}

// LeaseDurationValue returns LeaseDuration as a duration.
func (d Duties) LeaseDurationValue() time.Duration { return parseDuration(d.LeaseDuration) }

// UsageWindowDuration returns UsageWindow as a duration.
func (d Duties) UsageWindowDuration() time.Duration { return parseDuration(d.UsageWindow) }

// UsageDueDuration returns UsageDue as a duration.
func (d Duties) UsageDueDuration() time.Duration { return parseDuration(d.UsageDue) }

// Switch is a boolean setting. In JSON it is either a boolean, or an object such as
// {"name": "a", "in": ["a", "b"]}, which is true if the list has the name. A template
// of settings that can insert a list, but cannot compare values, uses the object.
type Switch bool

// UnmarshalJSON implements [json.Unmarshaler].
func (s *Switch) UnmarshalJSON(data []byte) error {
	var plain bool
	if json.Unmarshal(data, &plain) == nil {
		*s = Switch(plain)
		return nil
	}
	var list struct {
		Name string   `json:"name"`
		In   []string `json:"in"`
	}
	if err := decode(data, &list); err != nil {
		return err
	}
	*s = Switch(slices.Contains(list.In, list.Name))
	return nil
}

// duties collects the problems of the settings d.
func (c *fieldChecker) duties(d Duties) {
	c.url("duties.api", d.API)
	c.require("duties.calls_per_second", d.CallsPerSecond > 0 && d.CallsPerSecond <= maxCallsPerSecond,
		fmt.Sprintf("a number above 0 and up to %d, got %v", maxCallsPerSecond, d.CallsPerSecond))
	c.duration("duties.lease_duration", d.LeaseDuration, minLeaseDuration, maxLeaseDuration)
	c.duration("duties.usage_window", d.UsageWindow, minUsageWindow, maxUsageWindow)
	c.duration("duties.usage_due", d.UsageDue, max(minUsageWindow, d.LeaseDurationValue()), maxUsageWindow)
}

// duration collects a problem unless text is a duration from minimum to maximum.
func (c *fieldChecker) duration(field, text string, minimum, maximum time.Duration) {
	d := parseDuration(text)
	c.require(field, d >= minimum && d <= maximum, fmt.Sprintf("a duration from %v to %v, got %q", minimum, maximum, text))
}
