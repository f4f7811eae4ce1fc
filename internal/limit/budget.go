package limit

// Budget limits retries to a percentage of the requests, so that retries do not amplify an overload.
// The zero value allows none. It is not safe for concurrent use.
type Budget struct {
	// Percent is the number of retries that are added for 100 requests.
	Percent int
	// Max is the maximum number of accumulated retries.
	Max int

	// available is the number of accumulated retries, in hundredths.
	available int
}

// NewBudget returns a budget that starts with its maximum number of retries.
func NewBudget(percent, maxRetries int) Budget {
	return Budget{Percent: percent, Max: maxRetries, available: 100 * maxRetries}
}

// Earn counts a new request, which adds Percent hundredths of a retry to the budget.
func (b *Budget) Earn() {
	b.available = min(b.available+b.Percent, 100*b.Max)
}

// Spend takes one retry from the budget and reports whether one was available.
func (b *Budget) Spend() bool {
	if b.available < 100 {
		return false
	}
	b.available -= 100
	return true
}
