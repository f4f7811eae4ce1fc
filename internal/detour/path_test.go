package detour

import (
	"fmt"
	"testing"

	"swiftbeam/pkg/clock"
)

func failure(server string, at clock.Instant, silent bool) Failure {
	return Failure{Server: server, StartedAt: at - 300, At: at, Silent: silent}
}

// TestOneBadServerIsNotACut checks that no number of failures of one server makes the path cut while another one
// responds, and that one daemon's request decides between the two.
func TestOneBadServerIsNotACut(t *testing.T) {
	p := &Path{}
	for now := clock.Instant(1000); now < 60_000; now += 700 {
		p.Failed(failure("i-1", now, now%2 == 0), 9)
		if p.State != Open {
			t.Fatalf("state after failures of one server: got %v, want %v", p.State, Open)
		}
	}
	p.Failed(failure("i-2", 61_000, true), 9)
	if got, want := p.State, Cut; got != want {
		t.Errorf("state after a second server failed: got %v, want %v", got, want)
	}
}

func TestAnswersOfOtherServersKeepThePathOpen(t *testing.T) {
	p := &Path{}
	for i := range 100 {
		now := clock.Instant(1000 + 500*i)
		p.Failed(failure(fmt.Sprint("i-", i), now, false), 9)
		p.Answered(now+10, now+5)
	}
	if got, want := p.State, Open; got != want {
		t.Errorf("state while new connections respond: got %v, want %v", got, want)
	}
}

// TestServersThatEndedAreNotACut checks servers that refuse connections while others respond on connections that are
// open, or accept new ones: at most a probe is needed.
func TestServersThatEndedAreNotACut(t *testing.T) {
	p := &Path{}
	p.Failed(failure("i-1", 1000, false), 4)
	p.Answered(1500, 100)
	p.Failed(failure("i-2", 2000, false), 4)
	if got, want := p.State, Open; got != want {
		t.Errorf("state after two servers refused, and one responded in between: got %v, want %v", got, want)
	}
	p.Failed(failure("i-1", 2001, false), 4)
	if got, want := p.State, Cut; got != want {
		t.Fatalf("state after two servers refused in a row: got %v, want %v", got, want)
	}
	if p.HasFailed("i-3") || !p.HasFailed("i-1") {
		t.Error("servers that failed: want i-1 and not i-3")
	}
	if !p.ProbeDue(2002) {
		t.Error("got no probe, want one at once")
	}
	p.Opened(2005)
	if got, want := p.Choose(2005, Request{Draw: 0.99}), Direct; got != want {
		t.Errorf("way after a server accepted a connection: got %v, want %v", got, want)
	}
	p.Failed(failure("i-1", 3000, false), 4)
	p.Failed(failure("i-2", 3001, false), 4)
	p.Answered(3010, 100)
	if got, want := p.State, Open; got != want {
		t.Errorf("state after a response on an open connection: got %v, want %v", got, want)
	}
}

// TestCutIsLearnedFromOneRequest checks a daemon with one request in 3 s: the request learns of the cut from the
// two servers that it tries first.
func TestCutIsLearnedFromOneRequest(t *testing.T) {
	p := &Path{}
	p.Answered(1000, 990)
	p.Failed(failure("i-1", 4300, true), 1500)
	p.Failed(failure("i-2", 4600, true), 1500)
	if got, want := p.Choose(4600, Request{Repeatable: true, Unreached: 2}), Around; got != want {
		t.Errorf("way after two servers failed: got %v, want %v", got, want)
	}
	if got, want := p.Choose(7600, Request{Repeatable: true}), Around; got != want {
		t.Errorf("way of the next request: got %v, want %v", got, want)
	}
}

// TestOldConnectionsDoNotHideACut checks that responses on connections from before a cut do not count for new
// ones, and that they are trusted if they came after it began.
func TestOldConnectionsDoNotHideACut(t *testing.T) {
	p := &Path{}
	p.Failed(failure("i-1", 2000, true), 9)
	p.Answered(2100, 500)
	p.Failed(failure("i-2", 2200, true), 9)
	if got, want := p.State, Cut; got != want {
		t.Fatalf("state: got %v, want %v", got, want)
	}
	if got, want := p.TrustedSince(), clock.Instant(1700); got != want {
		t.Errorf("trusted since: got %v, want %v, the start of the first connection that failed", got, want)
	}
	p.Failed(failure("i-3", 9900, true), 9)
	if got, want := p.TrustedSince(), clock.Instant(1700); got != want {
		t.Errorf("trusted since, later in the cut: got %v, want %v", got, want)
	}
}

func TestRefusedConnectionsLeaveOpenOnesTrusted(t *testing.T) {
	p := &Path{}
	p.Failed(failure("i-1", 2000, false), 9)
	p.Failed(failure("i-2", 2010, false), 9)
	if got, want := p.TrustedSince(), clock.Instant(0); got != want {
		t.Errorf("trusted since: got %v, want %v, as the system reports a broken connection at once", got, want)
	}
}

// TestOwnPauseIsNotACut checks connections that timed out while the daemon itself was paused.
func TestOwnPauseIsNotACut(t *testing.T) {
	p := &Path{}
	p.Resumed(5000)
	for i := range 5 {
		p.Failed(Failure{Server: fmt.Sprint("i-", i), StartedAt: 1000, At: 5001, Silent: true}, 9)
	}
	if got, want := p.State, Open; got != want {
		t.Errorf("state after a pause: got %v, want %v", got, want)
	}
}

// TestServiceThatNobodyReachesIsRefusedAtOnce checks that only one request in a while tries the helpers again,
// and that requests go directly once a server accepts a connection.
func TestServiceThatNobodyReachesIsRefusedAtOnce(t *testing.T) {
	p := &Path{}
	p.Failed(failure("i-1", 1000, false), 4)
	p.Failed(failure("i-2", 1002, false), 4)
	p.NobodyReached(1010)
	around := 0
	for now := clock.Instant(1011); now < 11_011; now += 10 {
		switch got := p.Choose(now, Request{}); got {
		case Around:
			around++
		case Direct:
			t.Fatalf("way at %d: got %v, want %v", now, got, Nowhere)
		}
	}
	if around < 10 || around > 21 {
		t.Errorf("requests that try helpers in 10 s: got %d, want 10 to 21", around)
	}
	p.Opened(11_100)
	if got, want := p.Choose(11_100, Request{Draw: 0.99}), Direct; got != want {
		t.Errorf("way after a server accepted a connection: got %v, want %v", got, want)
	}
}

// TestReturnToARestoredPathIsGradual checks that requests that must not run twice do not test the path, and that the
// others return over returnTime.
func TestReturnToARestoredPathIsGradual(t *testing.T) {
	p := &Path{}
	p.Failed(failure("i-1", 1000, true), 9)
	p.Failed(failure("i-2", 1100, true), 9)
	p.Opened(2200)
	if got, want := p.Choose(2200, Request{}), Around; got != want {
		t.Errorf("way of a request that must not run twice: got %v, want %v", got, want)
	}
	direct := func(now clock.Instant) int {
		n := 0
		for i := range 100 {
			if p.Choose(now, Request{Repeatable: true, Draw: float64(i) / 100}) == Direct {
				n++
			}
		}
		return n
	}
	for _, c := range []struct {
		now  clock.Instant
		want int
	}{{2200, 10}, {2700, 50}, {3200, 100}} {
		if got := direct(c.now); got != c.want {
			t.Errorf("share that returned %d ms after the cut: got %d in 100, want %d", c.now-2200, got, c.want)
		}
	}
	p.Answered(3300, 2190)
	if got, want := p.State, Open; got != want {
		t.Errorf("state after a response: got %v, want %v", got, want)
	}
}

// TestPathThatAcceptsAndResetsIsProbedLessOften checks a path on which connections open and break with the first
// request.
func TestPathThatAcceptsAndResetsIsProbedLessOften(t *testing.T) {
	p := &Path{}
	p.Failed(Failure{Server: "i-1", StartedAt: 900, At: 1000, Broke: true}, 9)
	p.Failed(Failure{Server: "i-2", StartedAt: 905, At: 1010, Broke: true}, 9)
	probes := 0
	for now := clock.Instant(1010); now < 21_010; now += 10 {
		if p.ProbeDue(now) {
			probes++
			p.Opened(now)
			p.Failed(Failure{Server: "i-3", StartedAt: now, At: now + 5, Broke: true}, 9)
			if got, want := p.State, Cut; got != want {
				t.Fatalf("state after the first request on a new connection broke: got %v, want %v", got, want)
			}
		}
	}
	if probes > 9 {
		t.Errorf("probes in 20 s: got %d, want at most 9", probes)
	}
}

// TestOneServerThatEndedAfterACutIsNotACut checks that failures of a cut count nothing once servers accept connections again:
// a single server that has ended meanwhile must not cut the path again.
func TestOneServerThatEndedAfterACutIsNotACut(t *testing.T) {
	p := &Path{}
	broke := failure("i-1", 1000, false)
	broke.Broke = true
	p.Failed(broke, 4)
	p.Failed(failure("i-2", 1010, false), 4)
	if got, want := p.State, Cut; got != want {
		t.Fatalf("state after two failures: got %v, want %v", got, want)
	}
	p.Opened(3000)
	p.Failed(failure("i-3", 3100, false), 4)
	if got := p.State; got == Cut {
		t.Errorf("state after the path was restored and one server refused a connection: got %v, want it open or returning", got)
	}
	p.Failed(failure("i-4", 3200, false), 4)
	if got, want := p.State, Cut; got != want {
		t.Errorf("state after a second server refused: got %v, want %v", got, want)
	}
}

// TestServerThatCrashedOverANewConnectionIsNotACut checks that a connection whose server then refuses others proves nothing
// but that the server has ended. Probes are not delayed.
func TestServerThatCrashedOverANewConnectionIsNotACut(t *testing.T) {
	p := &Path{}
	p.Failed(failure("i-1", 1000, false), 4)
	p.Failed(failure("i-2", 1010, false), 4)
	p.ProbeDue(1020)
	p.Opened(3000)
	broke := failure("i-3", 3400, false)
	broke.Broke = true
	p.Failed(broke, 4)
	if got, want := p.State, Cut; got != want {
		t.Fatalf("state after a connection opened and broke: got %v, want %v", got, want)
	}
	p.ProbeDue(3405)
	p.Ended("i-3")
	if !p.ProbeDue(3410) {
		t.Error("got no probe once the server is known to have ended, want one at once")
	}
	p.Opened(3420)
	p.Failed(failure("i-4", 3500, false), 4)
	if got := p.State; got == Cut {
		t.Errorf("state after one more server refused: got %v, want it open or returning", got)
	}
}
