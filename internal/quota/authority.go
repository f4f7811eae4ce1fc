package quota

import "swiftbeam/pkg/clock"

// authority is the part of an account's limit that the records let the leader use. The exposure of all runs stays within
// it, so that a new leader knows what those it does not hear of could have spent.
type authority struct {
	// granted is the least that the stored record may contain, as the outcome of the last one may not be known.
	granted float64
	// at is the time of the last record.
	at clock.Instant
	// wanted is what grants and leases lacked since the last record.
	wanted     float64
	leasesLack bool
	// inherited is the authority of the earlier leader. heard and heardExposure are the number and the exposure of the
	// runs that had grants of it and have reported to this one.
	inherited     float64
	heard         int
	heardExposure float64
}

// hear notes the exposure of a run that had grants of earlier leaders.
func (au *authority) hear(h *holding) {
	au.heard++
	au.heardExposure += h.firstExposure
}

// cut reduces a grant to what the authority leaves, given what is used of it. It reports false, and grants nothing, if that
// does not cover the requests.
func (au *authority) cut(quantity *Amounts, u *Use, used float64) bool {
	left := max(au.granted-used, 0)
	excess := quantity.Sum() - left
	if excess <= 0 {
		return true
	}
	au.wanted += excess
	needed := 0.0
	for level := range quantity {
		needed += min(max(u.Requested[level]-u.Unspent[level], 0), quantity[level])
	}
	if needed > left {
		return false
	}
	for level := Levels - 1; level >= 0; level-- {
		part := min(quantity[level], excess)
		quantity[level] -= part
		excess -= part
	}
	return true
}

// cutLease reduces a lease to what the authority leaves beside the reserve for grants.
func (au *authority) cutLease(lease, reserved, limit float64) float64 {
	most := au.granted - reserved
	if au.granted < limit {
		most -= leaseReserve * limit
	}
	if lease <= most {
		return lease
	}
	au.leasesLack = true
	return max(most, 0)
}

// isScarce reports whether a record is needed before grants have to wait for it.
func (au *authority) isScarce(exposure, limit float64) bool {
	return au.granted < limit && au.granted-exposure < authorityScarce*limit
}

// isDue reports whether a record would change the authority by much, or the last one is old.
func (au *authority) isDue(now clock.Instant, exposure, limit float64) bool {
	next := min(exposure+authorityFraction*limit, limit)
	switch {
	case now.Sub(au.at) >= recordRenewal:
		return true
	case au.wanted > 0 && au.granted < limit:
		return true
	case au.isScarce(exposure, limit), au.leasesLack:
		return next-au.granted >= authorityStep*limit
	}
	return au.granted-next >= authoritySurplus*limit
}

// authorize returns the authority for the next record.
func (au *authority) authorize(now clock.Instant, exposure, limit float64) float64 {
	next := min(exposure+authorityFraction*limit+au.wanted, limit)
	// The record may be stored or not until that is known, so the lower authority counts.
	au.granted = min(au.granted, next)
	au.at, au.wanted, au.leasesLack = now, 0, false
	return next
}
