package crash

import (
	"slices"

	"swiftbeam/pkg/clock"
)

const (
	// beginningTime is the time from the first event of a response in which a server that ends may have been
	// crashed by the request.
	beginningTime = 250 * clock.Millisecond
	// reportRetention is the time for which ends are reported, so that a new leader gets them too.
	reportRetention = 5 * clock.Second
	// survivorRetention is the time for which survivors are reported: several reports, as one may be lost.
	survivorRetention = clock.Second
	// maxReported bounds the ends that are reported, and maxRuns the runs of each. The oldest ends, and the
	// runs that were sent first, are dropped: a request that crashes a server was sent shortly before.
	maxReported = 32
	maxRuns     = 32
	// maxChecks bounds the servers that are checked at the same time.
	maxChecks = 64
	// maxSurvivors bounds the survivors that are reported. The oldest are dropped.
	maxSurvivors = 128
	// maxRecent bounds each half of the traits whose last success is remembered. When a half is full, it
	// replaces the one before.
	maxRecent = 2048
)

// Break is a request that lost its connection to a server.
type Break struct {
	Service string
	// Server is the ID of the server with its start time.
	Server string
	Run
	// RespondedAt is the time of the first event of the response; zero for none.
	RespondedAt clock.Instant
	At          clock.Instant
	// Explained reports that the end of the server has another likely reason: it was going to leave, or its
	// version is on trial.
	Explained bool
}

// Watch is what one daemon observes of crashes and knows of blocked traits. Set Daemon before use. It is not
// safe for concurrent use.
type Watch struct {
	// Daemon identifies this run of the daemon.
	Daemon string
	// Revision is that of the table that the daemon knows.
	Revision uint64

	records map[Trait]*Record
	// survivors are the servers that this daemon found to accept connections after others had reported their ends.
	survivors []Survivor
	// checks contains the breaks at servers that are being checked.
	checks map[string]*End
	ends   []End
	// recent and older contain the last success of each trait.
	recent map[Trait]Success
	older  map[Trait]Success
	// wanted are the traits for which a trial is due, used the trials that this daemon has made.
	wanted map[Trait]bool
	used   map[Trait]int
}

// Beginning reports whether the request may have crashed the server: the server had just begun it, and its end
// has no other likely reason.
func (b *Break) Beginning() bool {
	return !b.Explained && (b.RespondedAt == 0 || b.At.Sub(b.RespondedAt) <= beginningTime)
}

// Broke records a break. It reports whether the caller has to check whether the server has ended, and call
// Checked.
func (w *Watch) Broke(b Break) bool {
	if !b.Beginning() {
		return false
	}
	if i := slices.IndexFunc(w.ends, func(e End) bool { return e.Server == b.Server }); i >= 0 {
		// The table counts the requests of an end, so none is dropped from one that was reported.
		if len(w.ends[i].Runs) < maxRuns {
			w.ends[i].addRun(b.Run)
		}
		return false
	}
	end := w.checks[b.Server]
	checking := end != nil
	if !checking {
		if len(w.checks) >= maxChecks {
			return false
		}
		if w.checks == nil {
			w.checks = make(map[string]*End)
		}
		end = &End{Service: b.Service, Server: b.Server, Daemon: w.Daemon, At: b.At}
		w.checks[b.Server] = end
	}
	if len(end.Runs) >= maxRuns {
		first := 0
		for i := range end.Runs {
			if end.Runs[i].SentAt.Before(end.Runs[first].SentAt) {
				first = i
			}
		}
		end.Runs = slices.Delete(end.Runs, first, first+1)
	}
	if !b.SentAt.Before(end.At) {
		// The server was up, or closing, when its first connection broke.
		end.At = max(end.At, b.At)
	}
	end.addRun(b.Run)
	return !checking
}

// addRun adds a request. Its time of sending identifies it among those of the end.
func (e *End) addRun(run Run) {
	for slices.ContainsFunc(e.Runs, func(o Run) bool { return o.SentAt == run.SentAt }) {
		run.SentAt--
	}
	e.Runs = append(e.Runs, run)
}

// Checked ends the check of a server. If the server has ended, it returns the end that is reported.
func (w *Watch) Checked(server string, ended bool) (End, bool) {
	end := w.checks[server]
	delete(w.checks, server)
	if end == nil || !ended {
		return End{}, false
	}
	if len(w.ends) >= maxReported {
		w.ends = slices.Delete(w.ends, 0, 1)
	}
	w.ends = append(w.ends, *end)
	return *end, true
}

// Survived records that a server accepted a connection. It reports whether that shows that it has not ended.
func (w *Watch) Survived(now clock.Instant, c *Check) bool {
	if now.Before(c.From()) || !now.Before(c.Until()) {
		return false
	}
	if len(w.survivors) >= maxSurvivors {
		w.survivors = slices.Delete(w.survivors, 0, 1)
	}
	w.survivors = append(w.survivors, Survivor{Server: c.Server, SeenAt: now})
	return true
}

// Succeeded records that a request was completed.
func (w *Watch) Succeeded(suspects []Suspect, sentAt, at clock.Instant) {
	if len(w.recent) >= maxRecent {
		w.older, w.recent = w.recent, nil
	}
	if w.recent == nil {
		w.recent = make(map[Trait]Success)
	}
	for i := range suspects {
		trait := suspects[i].Trait
		s := w.success(trait)
		w.recent[trait] = Success{Trait: trait, SentAt: max(s.SentAt, sentAt), At: max(s.At, at)}
	}
}

func (w *Watch) success(t Trait) Success {
	if s, ok := w.recent[t]; ok {
		return s
	}
	return w.older[t]
}

// Report returns the evidence to report now. Ends and survivors are repeated for some time.
func (w *Watch) Report(now clock.Instant) Evidence {
	w.ends = slices.DeleteFunc(w.ends, func(e End) bool { return now.Sub(e.At) > reportRetention })
	w.survivors = slices.DeleteFunc(w.survivors, func(s Survivor) bool { return now.Sub(s.SeenAt) > survivorRetention })
	e := Evidence{Ends: slices.Clone(w.ends), Survivors: slices.Clone(w.survivors)}
	for t, r := range w.records {
		if s := w.success(t); r.changedBy(&s) {
			e.Successes = append(e.Successes, s)
		}
	}
	for t := range w.wanted {
		e.Trials = append(e.Trials, Trial{Trait: t, Daemon: w.Daemon})
	}
	w.wanted = nil
	return e
}

// Learn applies changes of the table. It returns the records that changed and those that were removed.
func (w *Watch) Learn(c *Changes) (changed, removed []Record) {
	if c.Revision <= w.Revision {
		return nil, nil
	}
	w.Revision = c.Revision
	if w.records == nil {
		w.records = make(map[Trait]*Record)
	}
	listed := make(map[Trait]bool, len(c.Records))
	for i := range c.Records {
		r := c.Records[i]
		listed[r.Trait] = true
		if old := w.records[r.Trait]; old == nil || old.Revision != r.Revision {
			changed = append(changed, r)
		}
		w.records[r.Trait] = &r
	}
	for t, r := range w.records {
		if !listed[t] && (c.Complete || slices.Contains(c.Removed, t)) {
			removed = append(removed, *r)
			delete(w.records, t)
			delete(w.used, t)
			delete(w.wanted, t)
		}
	}
	return changed, removed
}

// Decision is whether a request may be sent.
type Decision struct {
	// Blocked is the blocked record with the latest trial; nil if the request may be sent.
	Blocked *Record
	// Await reports that a trial is due and was asked for, which the next change of the table may allow.
	Await bool
	// Trial reports that the request is the trial of a blocked trait.
	Trial bool
}

// Admit decides whether a request may be sent. A request with a single blocked trait may be the trial of it.
func (w *Watch) Admit(now clock.Instant, suspects []Suspect) Decision {
	latest, blocked := w.Blocked(suspects)
	switch {
	case latest == nil:
		return Decision{}
	case blocked == 1 && latest.TrialBy == w.Daemon && w.used[latest.Trait] < latest.Trials:
		if w.used == nil {
			w.used = make(map[Trait]int)
		}
		w.used[latest.Trait] = latest.Trials
		return Decision{Trial: true}
	case blocked == 1 && latest.trialDue(now):
		if w.wanted == nil {
			w.wanted = make(map[Trait]bool)
		}
		w.wanted[latest.Trait] = true
		return Decision{Blocked: latest, Await: true}
	}
	return Decision{Blocked: latest}
}

// Blocked returns the number of blocked traits, and the record of the one with the latest trial.
func (w *Watch) Blocked(suspects []Suspect) (*Record, int) {
	var latest *Record
	blocked := 0
	for i := range suspects {
		r := w.records[suspects[i].Trait]
		if r == nil || !r.Blocked() {
			continue
		}
		blocked++
		if latest == nil || r.NextTrial == 0 || latest.NextTrial > 0 && r.NextTrial > latest.NextTrial {
			latest = r
		}
	}
	return latest, blocked
}

// Suspected reports whether several servers ended under requests with one of the traits, so that a request
// whose server has ended should not be sent to another one.
func (w *Watch) Suspected(suspects []Suspect) bool {
	return slices.ContainsFunc(suspects, func(s Suspect) bool { return w.records[s.Trait] != nil })
}

// Suspicious reports whether there are any such traits.
func (w *Watch) Suspicious() bool { return len(w.records) > 0 }

// Tracks reports whether there are any such traits of a kind. Requests need no traits of a kind that is not
// tracked, unless their servers end.
func (w *Watch) Tracks(kind Kind) bool {
	for _, r := range w.records {
		if r.Kind == kind {
			return true
		}
	}
	return false
}
