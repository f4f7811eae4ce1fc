package pace

import (
	"testing"

	"swiftbeam/pkg/clock"
)

// TestRateIsBounded simulates 300 daemons, each of which would report after each of 43 requests a second.
func TestRateIsBounded(t *testing.T) {
	const daemons, requests = 300, 43
	var p Pacer
	var next [daemons]clock.Instant
	var pending [daemons]bool
	reports := 0
	for now := clock.Instant(0); now < 10_000; now++ {
		for i := range daemons {
			if (int(now)*requests+i*7)%1000 < requests {
				pending[i] = true
			}
			if !pending[i] || now < next[i] {
				continue
			}
			pending[i] = false
			next[i] = now.Add(max(p.Count(now), 10))
			if now >= 5_000 {
				reports++
			}
		}
	}
	if got, want := reports/5, MaxRate*5/4; got > want {
		t.Errorf("got %d reports a second, want at most %d", got, want)
	}
	if got, want := reports/5, MaxRate/2; got < want {
		t.Errorf("got %d reports a second, want at least %d", got, want)
	}
}

// TestFewReportsNeedNoPause checks that the pause ends when few reports arrive.
func TestFewReportsNeedNoPause(t *testing.T) {
	var p Pacer
	for now := clock.Instant(0); now < 2_000; now++ {
		for range 5 {
			p.Count(now)
		}
	}
	if got := p.Count(2_000); got == 0 {
		t.Error("got no pause at 5,000 reports a second")
	}
	got := clock.Duration(-1)
	for now := clock.Instant(2_000); now < 20_000; now += 2 {
		got = p.Count(now)
	}
	if got != 0 {
		t.Errorf("got a pause of %d ms at 500 reports a second, want none", got)
	}
}
