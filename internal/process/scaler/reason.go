package scaler

// Reason is the reason for the last change of an order.
type Reason int

// The reasons for an order.
const (
	// ReasonAdopted means that the upstreams that were there are kept.
	ReasonAdopted Reason = iota
	// ReasonLimits means that the limits of the configuration require the number.
	ReasonLimits
	// ReasonDemand means that the present demand needs more upstreams.
	ReasonDemand
	// ReasonTrend means that the demand expected after a start-up time needs more.
	ReasonTrend
	// ReasonLeaving means that upstreams that leave are made up for.
	ReasonLeaving
	// ReasonZone means that the service has enough upstreams, but too few in this zone.
	ReasonZone
	// ReasonLowDemand means that fewer upstreams have been enough for some time.
	ReasonLowDemand
)

// String returns the name of the reason in log lines.
func (r Reason) String() string {
	switch r {
	case ReasonAdopted:
		return "adopted"
	case ReasonLimits:
		return "limits"
	case ReasonDemand:
		return "demand"
	case ReasonTrend:
		return "trend"
	case ReasonLeaving:
		return "leaving"
	case ReasonZone:
		return "zone_demand"
	case ReasonLowDemand:
		return "low_demand"
	}
	return "unknown"
}
