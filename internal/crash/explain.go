package crash

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"

	"swiftbeam/pkg/clock"
)

// Explain adds to evidence that is to be applied what keeps parts from being blocked for ends that other traits explain. A
// request that crashes servers ends all requests beside it, and as they are sent again at the same time, it runs beside the
// same ones again. So an end says nothing of a part if the server also ran a request with a trait that is blocked, or that is
// blocked now on stronger evidence. Traits that come in the same request do not explain each other. A part with more other
// ends than such is blocked as before.
//
// The leader adds it to the evidence: a Table that counted in another way than that of an earlier build would not be the same.
func (t *Table) Explain(now clock.Instant, e *Evidence) {
	if !t.mayBlock(now, e) {
		return
	}
	after := t.clone()
	after.Apply(now, e)
	var causes, blocked []*Record
	for _, r := range after.sorted() {
		old := t.Records[r.Trait]
		switch {
		case !r.Blocked():
		case r.Kind == Request || old == nil || old.Blocked():
			causes = append(causes, r)
		default:
			blocked = append(blocked, r)
		}
	}
	coincidence := func(r *Record) float64 {
		return float64(r.Ends()) * math.Log(after.chance(now, r, after.Traffic[r.Service]))
	}
	slices.SortStableFunc(blocked, func(a, b *Record) int { return cmp.Compare(coincidence(a), coincidence(b)) })
	for _, r := range blocked {
		explained := func(b BrokenRun) bool { return r.explainedBy(causes, b.Server) }
		rest := *r
		rest.BlockedAt, rest.Breaks = 0, slices.DeleteFunc(slices.Clone(r.Breaks), explained)
		rest.Broken -= len(r.Breaks) - len(rest.Breaks)
		if 2*rest.Ends() > r.Ends() || after.due(now, &rest, after.Traffic[r.Service]) {
			causes = append(causes, r)
			continue
		}
		// A success removes the record. The ends that count are added anew, each under a name of its own.
		e.Successes = append(e.Successes, Success{Trait: r.Trait, At: max(now, r.FirstEnd+1)})
		for _, b := range t.Records[r.Trait].Breaks {
			if !explained(b) {
				e.Ends = append(e.Ends, End{
					Service: r.Service, Server: b.Server, At: b.At, Runs: []Run{{SentAt: b.SentAt, Suspects: []Suspect{r.Suspect}}},
					Daemon: "explained/" + r.Trait.String() + "/" + strconv.Itoa(len(e.Ends)) + "/" + strconv.FormatUint(t.Revision, 10),
				})
			}
		}
	}
}

// explainedBy reports whether a server ended under requests with one of the causes, none of which has the trait too.
func (r *Record) explainedBy(causes []*Record, server string) bool {
	return slices.ContainsFunc(causes, func(cause *Record) bool {
		ran := false
		for _, b := range cause.Breaks {
			if cause.Service != r.Service || b.Server != server {
				continue
			}
			if slices.Contains(r.Breaks, b) {
				return false
			}
			ran = true
		}
		return ran
	})
}

// mayBlock reports whether evidence may block a trait.
func (t *Table) mayBlock(now clock.Instant, e *Evidence) bool {
	for _, r := range t.Records {
		if !r.Blocked() && r.ListedAt > 0 && now.Sub(r.ListedAt) >= hearingTime && r.Ends()+len(e.Ends) >= limits[r.Kind].ends {
			return true
		}
	}
	return false
}

// clone returns a copy of the table that shares nothing that changes.
func (t *Table) clone() *Table {
	c := *t
	c.Records = make(map[Trait]*Record, len(t.Records))
	for trait, r := range t.Records {
		copied := *r
		copied.Breaks = slices.Clone(r.Breaks)
		c.Records[trait] = &copied
	}
	c.Ends, c.Removals, c.Traffic = slices.Clone(t.Ends), slices.Clone(t.Removals), maps.Clone(t.Traffic)
	return &c
}
