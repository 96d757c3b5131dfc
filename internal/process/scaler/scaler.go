// Package scaler decides how many upstreams each service needs in each availability
// zone.
//
// It is a decision package: [Scaler.Step] takes an [Observation] and the time, and
// returns the desired number of upstreams of each pair of service and zone. It does no
// I/O. The caller sends the orders.
//
// The demand of a service is converted to the number of upstreams that serve it at
// [TargetUtilisation]. Requests can be sent to any zone, so the number of upstreams is
// decided for the service and then spread over its zones by their demand. A trend over
// the start-up time of an upstream is added, since a new upstream serves only after it.
//
// An order rises at once and falls slowly: only after fewer upstreams would have been
// enough, with a margin, for several start-up times, and then by one upstream at a time.
// An order follows the demand and not the number of upstreams that are there, so
// upstreams that come and go do not change it. Upstreams that leave are made up for.
//
// While the demand is unknown the orders stay as they are. The state is soft: a new
// Scaler starts from the upstreams that are there.
//
// # Usage
//
//	var s scaler.Scaler
//	for _, o := range s.Step(now, observation) {
//		// o.Desired upstreams of o.Service in o.AvailabilityZone, because of o.Reason
//	}
package scaler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// TargetUtilisation is the share of the slots that the demand may take. An idle slot
	// costs the price of a part of an upstream; a request that finds no free slot is late
	// or refused, and stays so for a start-up time. With 45 of 64 slots taken on average,
	// random arrivals (standard deviation 6.7) take all of them 4 times in 1,000. The
	// dispatcher also keeps an eighth of the slots from deferrable requests.
	TargetUtilisation = 0.7
	// lowerUtilisation is the utilisation that upstreams must not exceed after the number
	// has been lowered. The distance to TargetUtilisation keeps a demand that oscillates
	// around a threshold from changing the order.
	lowerUtilisation = 0.6
	// marginRatio is the ratio of the upstreams needed at lowerUtilisation to those needed
	// at TargetUtilisation.
	marginRatio = TargetUtilisation / lowerUtilisation
	// lowerDelayStartups is the time, in start-up times, for which fewer upstreams must
	// have been enough before the number is lowered. Capacity that is given up too early
	// is missing for one start-up time.
	lowerDelayStartups = 3
	// maxGrowth is the maximum ratio of the needed upstreams to those that are there.
	// Requests that wait for upstreams to start add up, and would otherwise be taken for
	// an ever higher demand. Bursts reach 2.7 times the usual rate.
	maxGrowth = 3
	// minStartup is the minimum start-up time that is assumed. Shorter ones would make
	// orders follow the noise of the demand.
	minStartup = time.Second
)

// Limits are the limits of the number of upstreams of a service in each zone.
type Limits struct {
	Min, Max int
	// Startup is the time from an order until a new upstream serves.
	Startup time.Duration
}

// Zone is the state of a service in one availability zone.
type Zone struct {
	Name string
	// Running is the number of requests that the upstreams run for callers of this zone,
	// Waiting the number of those that wait for a slot, and PendingTokens the number of
	// their prompt tokens that wait for prefill.
	Running       int
	Waiting       int
	PendingTokens int
	// ArrivalRate is the number of requests that arrive each second, and RefusalRate the
	// number of those that are refused for want of room.
	ArrivalRate float64
	RefusalRate float64
	// Ready is the number of upstreams that accept requests, Starting the number of those
	// that were ordered and are within their start-up time, and Leaving the number of
	// those that shut down.
	Ready    int
	Starting int
	Leaving  int
}

// Service is the state of a service.
type Service struct {
	Name   string
	Limits Limits
	// Slots is the number of requests that an upstream runs at once, zero if unknown.
	Slots int
	// PrefillPerToken is the time in which an upstream prefills a prompt token, zero if
	// unknown.
	PrefillPerToken time.Duration
	Zones           []Zone
}

// Observation is the state of all services that can be scaled.
type Observation struct {
	// DemandKnown is false while the demand of other entries is missing.
	DemandKnown bool
	Services    []Service
}

// Order is the desired number of upstreams of a service in a zone.
type Order struct {
	Service          string
	AvailabilityZone string
	Desired          int
	// Reason is the reason for the last change of Desired.
	Reason Reason
}

// Scaler holds the orders of all services. The zero value has none.
type Scaler struct {
	services map[string]*service
}

// service is the state of one service.
type service struct {
	zones map[string]*zone
	// slots is the last known number of slots of an upstream.
	slots int
	trend trend
}

// zone is the order of a service in one zone, and the demand on which it is based.
type zone struct {
	name    string
	desired int
	reason  Reason
	// adoptedAt is the time of the first order.
	adoptedAt time.Time
	backlog   backlog
	// need is the number of upstreams that the demand of the zone takes at
	// TargetUtilisation, and replacement the number that makes up for those that leave.
	need        float64
	replacement int
	// lowerSince is the time since which fewer upstreams would have been enough, zero if
	// they are not. loweredAt is the time at which the order was last lowered.
	lowerSince time.Time
	loweredAt  time.Time
}

// Step takes an observation and returns the orders, sorted by service and zone. There is
// no order for a service until its demand has been known once.
func (s *Scaler) Step(now time.Time, o Observation) []Order {
	if s.services == nil {
		s.services = map[string]*service{}
	}
	seen := map[string]struct{}{}
	for _, in := range o.Services {
		seen[in.Name] = struct{}{}
		if !o.DemandKnown {
			continue
		}
		if s.services[in.Name] == nil {
			s.services[in.Name] = &service{zones: map[string]*zone{}}
		}
		s.services[in.Name].step(now, in)
	}
	maps.DeleteFunc(s.services, func(name string, _ *service) bool {
		_, ok := seen[name]
		return !ok
	})
	return s.orders()
}

func (s *Scaler) orders() []Order {
	var out []Order
	for name, v := range s.services {
		for _, z := range v.zones {
			out = append(out, Order{Service: name, AvailabilityZone: z.name, Desired: z.desired, Reason: z.reason})
		}
	}
	slices.SortFunc(out, func(a, b Order) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.AvailabilityZone, b.AvailabilityZone))
	})
	return out
}

// step updates the orders of one service.
func (s *service) step(now time.Time, in Service) {
	in.Limits.Startup = max(in.Limits.Startup, minStartup)
	s.adoptZones(now, in)
	s.applyLimits(in.Limits)
	s.measure(now, in)
	level := s.need()
	forecast := s.trend.forecast(now, level, in.Limits.Startup)
	if level > 0 {
		for _, z := range s.zones {
			z.need *= forecast / level
		}
	}
	s.raise(in.Limits, level, forecast)
	s.lower(now, in.Limits, forecast)
}

// adoptZones adds the zones that are new, with the upstreams that are there as their
// orders, and removes those that are gone. An order that has not changed since then
// includes upstreams that get ready within a start-up time: an earlier holder has ordered
// them.
func (s *service) adoptZones(now time.Time, in Service) {
	seen := map[string]struct{}{}
	for _, o := range in.Zones {
		seen[o.Name] = struct{}{}
		z := s.zones[o.Name]
		if z == nil {
			z = &zone{name: o.Name, reason: ReasonAdopted, adoptedAt: now}
			s.zones[o.Name] = z
		}
		if z.reason == ReasonAdopted && now.Sub(z.adoptedAt) <= in.Limits.Startup {
			z.desired = max(z.desired, o.Ready+o.Starting)
		}
	}
	maps.DeleteFunc(s.zones, func(name string, _ *zone) bool {
		_, ok := seen[name]
		return !ok
	})
}

// applyLimits brings the orders within limits that have changed.
func (s *service) applyLimits(l Limits) {
	for _, z := range s.zones {
		if bounded := min(max(z.desired, l.Min), l.Max); bounded != z.desired {
			z.desired, z.reason = bounded, ReasonLimits
		}
	}
}
