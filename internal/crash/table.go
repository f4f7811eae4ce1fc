package crash

import (
	"bytes"
	"cmp"
	"maps"
	"math"
	"slices"

	"swiftbeam/pkg/clock"
)

const (
	// endsToList is the number of ends from which all daemons are told of a trait, so that they report
	// requests with it that were completed.
	endsToList = 2
	// hearingTime is the time between the listing and the blocking of a trait, in which each daemon has
	// reported: two intervals of reports and the time to send the list.
	hearingTime = clock.Second
	// maxRecords bounds the table. When it is full, the record with the fewest ends, and of these the one
	// with the oldest last end, makes room. Blocked traits are kept.
	maxRecords = 256
	// maxBreaks bounds the requests in a record. The oldest are dropped.
	maxBreaks = 32
	// maxEnds bounds the ends that are remembered, each as observed by one daemon. Of the oldest, only the number of
	// runs is kept.
	maxEnds = 256
	// maxRemovals bounds the removals that are remembered for daemons with an older revision. A daemon that
	// needs older ones gets the complete table.
	maxRemovals = 256
	// survivalMargin is the time after an end from which a server that is up shows that it has not ended. The clocks of
	// daemons differ, and an end is observed by each at another time.
	survivalMargin = 700 * clock.Millisecond
	// maxAnnouncementDelay is how late an announcement may arrive, at the leader and through another daemon.
	maxAnnouncementDelay = 10 * clock.Second
	// suspectRetention and blockRetention are the times after the last end for which a trait is remembered.
	suspectRetention = 10 * clock.Minute
	blockRetention   = clock.Day
)

// limits are the ends from which on a trait is blocked if no server ended under requests without it, and the
// probability up to which the ends may be a coincidence. A part needs more evidence than a request: the
// requests of many callers have it.
//
// If requests with the trait were completed before, a number of other requests has to be completed as well, which shows
// that the service itself works: since the last end under a part, as the requests of many callers have it, and since the
// first one under a request, as a caller that sends it often would else put the blocking off with each end.
var limits = map[Kind]struct {
	ends      int
	chance    float64
	completed uint64
}{
	Part:    {ends: 4, chance: 1e-5, completed: 100},
	Request: {ends: 3, chance: 1e-3, completed: 20},
}

// trialDelays are the times from the blocking of a trait, or from a trial, to the next trial. Each trial of
// a trait that still crashes servers costs one of them, so there are few.
var trialDelays = []clock.Duration{clock.Minute, 10 * clock.Minute}

// Table contains the traits under which servers ended. It is part of the replicated state: the same evidence
// at the same times gives the same table. The zero value is empty.
type Table struct {
	Revision uint64
	Records  map[Trait]*Record
	// Ends are the last ends, the oldest first.
	Ends []EndSummary
	// Traffic is that of the services with ends.
	Traffic map[string]Traffic
	// Removals are the last removals of listed traits, the oldest first. Forgotten is the highest revision
	// of a removal that is not among them any more.
	Removals  []Removal
	Forgotten uint64
}

// EndSummary is an End with the number of its runs.
type EndSummary struct {
	Service string
	Server  string
	Daemon  string
	At      clock.Instant
	Runs    int
	// SurvivedAt is a time after the end at which the server was up; zero if there is none. The end does not count then.
	SurvivedAt clock.Instant
	// Dropped is the number of runs of ends of the service before it that are not remembered any more.
	Dropped int
}

// Removal is the revision at which a trait was removed.
type Removal struct {
	Trait    Trait
	Revision uint64
}

// Apply adds evidence to the table and blocks the traits that are due.
func (t *Table) Apply(now clock.Instant, e *Evidence) {
	t.expire(now)
	t.setTraffic(e.Traffic)
	for i := range e.Successes {
		t.addSuccess(&e.Successes[i])
	}
	for i := range e.Ends {
		t.addEnd(now, &e.Ends[i])
	}
	for _, s := range e.Survivors {
		t.addSurvivor(s)
	}
	for _, trial := range e.Trials {
		if r := t.Records[trial.Trait]; r != nil && r.trialDue(now) {
			r.Trials++
			r.TrialBy, r.NextTrial = trial.Daemon, nextTrial(now, r.Trials)
			t.touch(r)
		}
	}
	for _, r := range t.sorted() {
		if t.due(now, r, t.Traffic[r.Service]) {
			r.BlockedAt, r.NextTrial = now, nextTrial(now, 0)
			t.touch(r)
		}
	}
}

// Filter returns the part of the evidence that is new to the table.
func (t *Table) Filter(now clock.Instant, e *Evidence) Evidence {
	var news Evidence
	for i := range e.Ends {
		known := t.find(&e.Ends[i])
		if known == nil || known.isOver(&e.Ends[i]) || known.SurvivedAt == 0 && known.Runs < len(e.Ends[i].Runs) {
			news.Ends = append(news.Ends, e.Ends[i])
		}
	}
	for i := range e.Successes {
		if r := t.Records[e.Successes[i].Trait]; r != nil && r.changedBy(&e.Successes[i]) {
			news.Successes = append(news.Successes, e.Successes[i])
		}
	}
	for _, survivor := range e.Survivors {
		if t.survivedBy(survivor) {
			news.Survivors = append(news.Survivors, survivor)
		}
	}
	for _, trial := range e.Trials {
		if r := t.Records[trial.Trait]; r != nil && r.trialDue(now) {
			news.Trials = append(news.Trials, trial)
		}
	}
	return news
}

// setTraffic replaces the traffic of services. A new leader counts from zero.
func (t *Table) setTraffic(list []Traffic) {
	if t.Traffic == nil {
		t.Traffic = make(map[string]Traffic)
	}
	for _, traffic := range list {
		if traffic.Completed < t.Traffic[traffic.Service].Completed {
			for _, r := range t.Records {
				if r.Service == traffic.Service {
					r.Completed = 0
				}
			}
		}
		t.Traffic[traffic.Service] = traffic
	}
}

// Due reports whether a trait is to be blocked now, for which Apply is needed without observations.
func (t *Table) Due(now clock.Instant, traffic func(service string) Traffic) bool {
	for _, r := range t.Records {
		if t.due(now, r, traffic(r.Service)) {
			return true
		}
	}
	return false
}

// Services returns the services whose traffic the table needs: those of its records and of new ends.
func (t *Table) Services(news *Evidence) map[string]bool {
	services := make(map[string]bool)
	for _, r := range t.Records {
		services[r.Service] = true
	}
	for i := range news.Ends {
		services[news.Ends[i].Service] = true
	}
	return services
}

// Since returns the changes of listed records after a revision.
func (t *Table) Since(revision uint64) Changes {
	c := Changes{Revision: t.Revision, Complete: revision == 0 || revision < t.Forgotten}
	for _, r := range t.Records {
		if r.ListedAt > 0 && (c.Complete || r.Revision > revision) {
			c.Records = append(c.Records, *r)
		}
	}
	slices.SortFunc(c.Records, func(a, b Record) int { return bytes.Compare(a.Trait[:], b.Trait[:]) })
	if c.Complete {
		return c
	}
	for _, removal := range t.Removals {
		if removal.Revision > revision {
			c.Removed = append(c.Removed, removal.Trait)
		}
	}
	return c
}

// find returns the end as it was added before, or nil. Daemons repeat their reports, and add requests whose
// connections broke a little later.
func (t *Table) find(e *End) *EndSummary {
	i := slices.IndexFunc(t.Ends, func(known EndSummary) bool { return known.Server == e.Server && known.Daemon == e.Daemon })
	if i < 0 {
		return nil
	}
	return &t.Ends[i]
}

func (t *Table) addEnd(now clock.Instant, e *End) {
	known := t.find(e)
	if known == nil {
		if len(t.Ends) >= maxEnds {
			t.dropOldestEnd()
		}
		// A daemon's clock that is ahead must not keep later ends from being counted.
		t.Ends = append(t.Ends, EndSummary{Service: e.Service, Server: e.Server, Daemon: e.Daemon, At: min(e.At, now)})
		known = &t.Ends[len(t.Ends)-1]
	}
	if known.isOver(e) {
		known.At, known.Runs, known.SurvivedAt = min(e.At, now), 0, 0
	}
	if known.SurvivedAt > 0 {
		return
	}
	for _, run := range e.Runs[min(known.Runs, len(e.Runs)):] {
		for _, suspect := range run.Suspects {
			t.addRun(now, e.Service, BrokenRun{Server: e.Server, SentAt: run.SentAt, At: known.At}, suspect)
		}
	}
	known.Runs = max(known.Runs, len(e.Runs))
}

// dropOldestEnd makes room for an end. Its runs still count as broken ones.
func (t *Table) dropOldestEnd() {
	oldest := t.Ends[0]
	t.Ends = slices.Clone(t.Ends[1:])
	if i := slices.IndexFunc(t.Ends, func(e EndSummary) bool { return e.Service == oldest.Service }); i >= 0 {
		t.Ends[i].Dropped += oldest.Runs + oldest.Dropped
	}
}

// isOver reports whether the server survived the end and e is another one.
func (s *EndSummary) isOver(e *End) bool { return s.SurvivedAt > 0 && e.At.After(s.SurvivedAt) }

// contradicts reports whether the server did not end at a time.
func (s *Survivor) contradicts(server string, endedAt clock.Instant) bool {
	return s.Server == server && s.SeenAt.Sub(endedAt) >= survivalMargin
}

// survivedBy reports whether an end of the survivor counts still.
func (t *Table) survivedBy(s Survivor) bool {
	for i := range t.Ends {
		if t.Ends[i].SurvivedAt == 0 && s.contradicts(t.Ends[i].Server, t.Ends[i].At) {
			return true
		}
	}
	for _, r := range t.Records {
		if slices.ContainsFunc(r.Breaks, func(b BrokenRun) bool { return s.contradicts(b.Server, b.At) }) {
			return true
		}
	}
	return false
}

// Survivors returns the servers with ends that were up later: those that were seen, and those that announced themselves.
// AnnouncedAt returns the time up to which announcements of a start of a server have arrived, zero if there are none.
func (t *Table) Survivors(seenAt map[string]clock.Instant, announcedAt func(service, server string) clock.Instant) []Survivor {
	found := make(map[string]clock.Instant)
	t.eachEnd(func(service, server string, endedAt clock.Instant) {
		at, known := found[server]
		if !known {
			at = max(seenAt[server], announcedAt(service, server).Add(-maxAnnouncementDelay))
		}
		s := Survivor{Server: server, SeenAt: at}
		if s.contradicts(server, endedAt) {
			found[server] = at
		}
	})
	list := make([]Survivor, 0, len(found))
	for _, server := range slices.Sorted(maps.Keys(found)) {
		list = append(list, Survivor{Server: server, SeenAt: found[server]})
	}
	return list
}

// EndedServers returns the services of the servers whose ends count.
func (t *Table) EndedServers() map[string]string {
	services := make(map[string]string)
	t.eachEnd(func(service, server string, _ clock.Instant) { services[server] = service })
	return services
}

func (t *Table) eachEnd(f func(service, server string, endedAt clock.Instant)) {
	for i := range t.Ends {
		if t.Ends[i].SurvivedAt == 0 {
			f(t.Ends[i].Service, t.Ends[i].Server, t.Ends[i].At)
		}
	}
	for _, r := range t.Records {
		for _, b := range r.Breaks {
			f(r.Service, b.Server, b.At)
		}
	}
}

// addSurvivor removes the ends of a server, and the records that rest on them.
func (t *Table) addSurvivor(s Survivor) {
	for i := range t.Ends {
		if t.Ends[i].SurvivedAt == 0 && s.contradicts(t.Ends[i].Server, t.Ends[i].At) {
			t.Ends[i].SurvivedAt = s.SeenAt
		}
	}
	for _, r := range t.sorted() {
		breaks := slices.DeleteFunc(slices.Clone(r.Breaks), func(b BrokenRun) bool { return s.contradicts(b.Server, b.At) })
		if len(breaks) == len(r.Breaks) {
			continue
		}
		t.remove(r)
		if len(breaks) == 0 {
			continue
		}
		// The trait is listed and blocked anew if what is left suffices.
		rest := &Record{Suspect: r.Suspect, Service: r.Service, Breaks: breaks, Broken: r.Broken - len(r.Breaks) + len(breaks), Proven: r.Proven, Completed: r.Completed}
		rest.FirstEnd, rest.LastEnd = breaks[0].At, breaks[0].At
		for _, b := range breaks {
			rest.FirstEnd, rest.LastEnd = min(rest.FirstEnd, b.At), max(rest.LastEnd, b.At)
		}
		if rest.Ends() >= endsToList {
			rest.ListedAt, rest.BlockedAt = r.ListedAt, r.BlockedAt
			rest.Trials, rest.TrialBy, rest.NextTrial = r.Trials, r.TrialBy, r.NextTrial
			if rest.Ends() < limits[r.Kind].ends {
				rest.BlockedAt, rest.Trials, rest.TrialBy, rest.NextTrial = 0, 0, "", 0
			}
		}
		t.Records[r.Trait] = rest
		t.touch(rest)
	}
}

// addRun adds a request to the record of a trait.
func (t *Table) addRun(now clock.Instant, service string, run BrokenRun, suspect Suspect) {
	r := t.Records[suspect.Trait]
	if r == nil {
		if len(t.Records) >= maxRecords && !t.makeRoom() {
			return
		}
		if t.Records == nil {
			t.Records = make(map[Trait]*Record)
		}
		r = &Record{Suspect: suspect, Service: service, FirstEnd: run.At}
		t.Records[suspect.Trait] = r
	}
	if len(r.Breaks) >= maxBreaks {
		r.Breaks = slices.Clone(r.Breaks[1:])
	}
	r.Breaks = append(r.Breaks, run)
	r.Broken++
	if r.Broken == 1 || r.Kind == Part {
		r.Completed = t.Traffic[service].Completed
	}
	r.FirstEnd, r.LastEnd = min(r.FirstEnd, run.At), max(r.LastEnd, run.At)
	if r.ListedAt == 0 && r.Ends() >= endsToList {
		r.ListedAt = now
	}
	t.touch(r)
}

// Ends returns the number of servers that ended one after the other: the largest number of requests with the
// trait of which each was sent after the end of the server before, and to another one.
func (r *Record) Ends() int {
	breaks := slices.SortedFunc(slices.Values(r.Breaks), func(a, b BrokenRun) int { return cmp.Compare(a.At, b.At) })
	ends, last := 0, BrokenRun{}
	for _, b := range breaks {
		if ends == 0 || !b.SentAt.Before(last.At) && b.Server != last.Server {
			ends++
			last = b
		}
	}
	return ends
}

// addSuccess removes the record of a trait whose requests are completed.
func (t *Table) addSuccess(s *Success) {
	r := t.Records[s.Trait]
	if r == nil {
		return
	}
	if r.contradicts(s) {
		t.remove(r)
		return
	}
	if !r.Proven && s.At > 0 {
		r.Proven = true
		t.touch(r)
	}
}

func (t *Table) touch(r *Record) {
	t.Revision++
	r.Revision = t.Revision
}

func (t *Table) remove(r *Record) {
	delete(t.Records, r.Trait)
	t.Revision++
	if r.ListedAt == 0 {
		return
	}
	t.Removals = append(t.Removals, Removal{Trait: r.Trait, Revision: t.Revision})
	if len(t.Removals) > maxRemovals {
		t.Forgotten = t.Removals[0].Revision
		t.Removals = slices.Clone(t.Removals[1:])
	}
}

// makeRoom removes the least important record. It reports false if all are blocked.
func (t *Table) makeRoom() bool {
	var least *Record
	for _, r := range t.Records {
		if !r.Blocked() && (least == nil || compareImportance(r, least) < 0) {
			least = r
		}
	}
	if least == nil {
		return false
	}
	t.remove(least)
	return true
}

func compareImportance(a, b *Record) int {
	return cmp.Or(cmp.Compare(a.Ends(), b.Ends()), cmp.Compare(a.LastEnd, b.LastEnd), bytes.Compare(a.Trait[:], b.Trait[:]))
}

// expire removes what is older than its retention time, and the traffic of services without ends.
func (t *Table) expire(now clock.Instant) {
	for _, r := range t.sorted() {
		retention := suspectRetention
		if r.Blocked() {
			retention = blockRetention
		}
		if now.Sub(r.LastEnd) > retention {
			t.remove(r)
		}
	}
	t.Ends = slices.DeleteFunc(slices.Clone(t.Ends), func(e EndSummary) bool { return now.Sub(e.At) > suspectRetention })
	maps.DeleteFunc(t.Traffic, func(service string, _ Traffic) bool {
		return !slices.ContainsFunc(t.Ends, func(e EndSummary) bool { return e.Service == service })
	})
}

// sorted returns the records in an order that is the same on all daemons.
func (t *Table) sorted() []*Record {
	list := make([]*Record, 0, len(t.Records))
	for _, r := range t.Records {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *Record) int { return bytes.Compare(a.Trait[:], b.Trait[:]) })
	return list
}

// due reports whether a trait is to be blocked now.
func (t *Table) due(now clock.Instant, r *Record, traffic Traffic) bool {
	if r.Blocked() || r.ListedAt == 0 || now.Sub(r.ListedAt) < hearingTime {
		return false
	}
	ends, limit := r.Ends(), limits[r.Kind]
	if r.Proven && traffic.Completed < r.Completed+limit.completed {
		return false
	}
	return ends >= limit.ends && float64(ends)*math.Log(t.chance(now, r, traffic)) < math.Log(limit.chance)
}

// chance returns the probability that the server of a request without the trait ends soon after it began
// the request.
func (t *Table) chance(now clock.Instant, r *Record, traffic Traffic) float64 {
	from := min(r.FirstEnd, now.Add(-minSpan))
	broken := 0
	for _, e := range t.Ends {
		if e.Service == r.Service && !e.At.Before(from) {
			broken += e.Runs + e.Dropped
		}
	}
	requests := traffic.PerSecond*now.Sub(from).Std().Seconds() - float64(r.Broken)
	return min((float64(broken-r.Broken)+minBroken)/max(requests, 1), 1)
}

const (
	// minSpan is the time over which requests without a trait are counted, if the ends under it took less.
	minSpan = 10 * clock.Second
	// minBroken is added to the number of broken requests, as a few requests without a broken one prove
	// little.
	minBroken = 0.02
)

// contradicts reports whether a request that was completed shows that the trait does not crash servers. A
// blocked trait needs one that was sent after the last end: others may have started before the trait began
// to crash servers.
func (r *Record) contradicts(s *Success) bool {
	if r.Blocked() {
		return s.SentAt.After(r.LastEnd)
	}
	return s.At.After(r.FirstEnd)
}

// changedBy reports whether a success changes the record.
func (r *Record) changedBy(s *Success) bool { return r.contradicts(s) || !r.Proven && s.At > 0 }

func (r *Record) trialDue(now clock.Instant) bool {
	return r.Blocked() && r.NextTrial > 0 && !now.Before(r.NextTrial)
}

// nextTrial returns the time of the next trial after a number of them; zero if there are no more.
func nextTrial(now clock.Instant, trials int) clock.Instant {
	if trials >= len(trialDelays) {
		return 0
	}
	return now.Add(trialDelays[trials])
}
