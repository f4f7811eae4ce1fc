package limit

// Budget bounds retries to a part of the requests, so that retries do not grow an overload. The
// zero value allows none; its owner serialises the calls.
type Budget struct {
	// Percent is the number of retries that 100 requests earn.
	Percent int
	// Max bounds the retries that are saved up.
	Max int

	saved int
}

// NewBudget returns a budget with all the retries that it may save.
func NewBudget(percent, most int) Budget {
	return Budget{Percent: percent, Max: most, saved: 100 * most}
}

// Earn counts a new request.
func (b *Budget) Earn() {
	b.saved = min(b.saved+b.Percent, 100*b.Max)
}

// Spend takes one retry and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.saved < 100 {
		return false
	}
	b.saved -= 100
	return true
}
