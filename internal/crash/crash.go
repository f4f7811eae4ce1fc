// Package crash finds what requests have in common that crash backend servers, and blocks such requests
// before they reach further servers. Each daemon that sends requests has a Watch, which collects evidence.
// The replicated state has a Table, which decides on it:
//
//	watch.Broke(run)                         // the connection of a request to a server broke
//	watch.Checked(server, true)              // the server has ended, as it refuses connections
//	evidence := watch.Report(now)            // reported to the leader, which commits it
//	table.Apply(now, &evidence)              // on each daemon with the replicated state
//	changes := table.Since(revision)         // sent to the daemons
//	watch.Learn(&changes)
//	decision := watch.Admit(now, suspects)   // before a request is sent
//
// Requests have traits: the parts of their prompts, of which sound requests have most too, and a digest of the
// whole request, which only its repetitions have. A trait is blocked when several servers, one after the other, ended soon after they began requests with it, and none
// with it was completed since the first of these ends:
//
//   - Ends at about the same time, as in the outage of an availability zone, count once: only requests with
//     the trait that did not overlap are counted. Copies of one request are, if no other server ended with theirs.
//   - An end does not count any more once another daemon connects to the server: the one that could not may be cut off.
//     Announcements show that a server is up only long after the end, as they may arrive late.
//   - The more often servers end under requests without the trait, the more ends it needs.
//   - A trait of requests that were completed before is blocked only after the service has completed others
//     since the last end. While servers end so often that nothing is completed, the parts that all prompts
//     share look like the cause too.
//   - A blocked trait is tested with a single request after a minute, and later once more.
package crash

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"

	"swiftbeam/pkg/clock"
)

//go:generate ../../.tools/stringer -type=Kind -output=kind_string.go

// Trait identifies a property that several requests may share.
type Trait [16]byte

// String returns the trait as text for logs.
func (t Trait) String() string { return hex.EncodeToString(t[:]) }

// PartTrait returns the trait of prompts for a service that contain a part.
func PartTrait(service, part string) Trait { return newTrait("part", service, part) }

// Identity is what makes two requests to a service the same.
type Identity struct {
	Account string
	Method  string
	Host    string
	Target  string
	Model   string
	// Parts are the IDs of all parts of the prompt.
	Parts []string
	Body  []byte
}

// RequestTrait returns the trait of all requests to a service that are the same. As it contains the account, nobody
// else can send one.
func RequestTrait(service string, i *Identity) Trait {
	texts := append([]string{"request", service, i.Account, i.Method, i.Host, i.Target, i.Model, string(i.Body)}, i.Parts...)
	return newTrait(texts...)
}

// newTrait returns a digest of texts. Callers choose some of them, so it must be free of collisions.
func newTrait(texts ...string) Trait {
	var data []byte
	for _, text := range texts {
		data = binary.AppendUvarint(data, uint64(len(text)))
		data = append(data, text...)
	}
	digest := sha256.Sum256(data)
	return Trait(digest[:len(Trait{})])
}

// StartID identifies one start of a server.
func StartID(server string, start int64) string { return server + "/" + strconv.FormatInt(start, 10) }

// SplitStartID returns the server and the start that StartID was called with.
func SplitStartID(id string) (server string, start int64) {
	i := strings.LastIndexByte(id, '/')
	start, err := strconv.ParseInt(id[i+1:], 10, 64)
	if i < 0 || err != nil {
		return id, 0
	}
	return id[:i], start
}

// Kind is the kind of a trait.
type Kind uint8

// Kinds of traits.
const (
	// Part is a part of a prompt.
	Part Kind = iota
	// Request is the request itself.
	Request
)

// Suspect is a trait of a request.
type Suspect struct {
	Trait Trait
	Kind  Kind
	// Name is the ID of a part, or the method and the target of a request.
	Name string
}

// Run is a request that a server had begun not long before it ended.
type Run struct {
	SentAt   clock.Instant
	Suspects []Suspect
}

// End is the end of a server as one daemon observed it.
type End struct {
	Service string
	// Server is the ID of the server with its start time.
	Server string
	Daemon string
	At     clock.Instant
	Runs   []Run
}

// Success reports the last request with a trait that was completed.
type Success struct {
	Trait  Trait
	SentAt clock.Instant
	At     clock.Instant
}

// Trial asks that the daemon may send one request with a blocked trait.
type Trial struct {
	Trait  Trait
	Daemon string
}

// Survivor takes back the ends of a server that was up later, or ended for a reason of its own.
type Survivor struct {
	// Server is the ID of the server with its start time.
	Server string
	// SeenAt is a time at which it was up. Ends shortly before may be others.
	SeenAt clock.Instant
}

// Excused returns what takes the end back.
func (e *End) Excused() Survivor { return Survivor{Server: e.Server, SeenAt: e.At.Add(survivalMargin)} }

// minAnnouncementGap is the least time between two announcements that show that a server is up. Announcements that waited
// for a daemon that was paused arrive together.
const minAnnouncementGap = 500 * clock.Millisecond

// UpAt returns the time up to which announcements of a server are known to have arrived, when another one arrives at a
// time: that of the last one before it, or the time known so far.
func UpAt(known, last, at clock.Instant) clock.Instant {
	if at.Sub(last) >= minAnnouncementGap {
		return last
	}
	return known
}

// Traffic is what is known of the requests to the servers of a service.
type Traffic struct {
	Service string
	// PerSecond is the number of requests that are sent in a second.
	PerSecond float64
	// Completed is the number of requests that were completed since the leader was elected.
	Completed uint64
}

// Evidence is what daemons observed. All times are of the clock that the daemons agree on.
type Evidence struct {
	Ends      []End
	Successes []Success
	Trials    []Trial
	Survivors []Survivor
	// Traffic is added by the leader.
	Traffic []Traffic
}

// Empty reports whether there are no observations.
func (e *Evidence) Empty() bool {
	return len(e.Ends)+len(e.Successes)+len(e.Trials)+len(e.Survivors) == 0
}

// Shift adds d to all times, for a daemon whose clock is behind by that.
func (e *Evidence) Shift(d clock.Duration) {
	for i := range e.Ends {
		e.Ends[i].At = e.Ends[i].At.Add(d)
		for j := range e.Ends[i].Runs {
			e.Ends[i].Runs[j].SentAt = e.Ends[i].Runs[j].SentAt.Add(d)
		}
	}
	for i := range e.Successes {
		e.Successes[i].SentAt, e.Successes[i].At = e.Successes[i].SentAt.Add(d), e.Successes[i].At.Add(d)
	}
	for i := range e.Survivors {
		e.Survivors[i].SeenAt = e.Survivors[i].SeenAt.Add(d)
	}
}

// Record is what is known of a trait under which servers ended.
type Record struct {
	Suspect
	Service string
	// FirstEnd and LastEnd are the times of the first and the last end.
	FirstEnd clock.Instant
	LastEnd  clock.Instant
	// Breaks are the last requests with the trait whose servers ended, Broken the number of all of them.
	Breaks []BrokenRun
	Broken int
	// Proven reports that requests with the trait were completed before, Completed the requests to the
	// service that had been completed at the last end under a part, or at the first one under a request.
	Proven    bool
	Completed uint64
	// ListedAt is the time from which all daemons are told of the trait; zero before.
	ListedAt clock.Instant
	// BlockedAt is the time at which the trait was blocked; zero if it is not.
	BlockedAt clock.Instant
	// Trials counts the requests that were allowed as tests since then. The last one was allowed to the
	// daemon TrialBy. NextTrial is the time of the next; zero for none.
	Trials    int
	TrialBy   string
	NextTrial clock.Instant
	// Revision is the table's revision at the last change of the record.
	Revision uint64
}

// BrokenRun is a request whose server ended.
type BrokenRun struct {
	Server string
	SentAt clock.Instant
	At     clock.Instant
}

// Blocked reports whether requests with the trait are not sent.
func (r *Record) Blocked() bool { return r.BlockedAt > 0 }

// Changes are the listed records that changed and the traits that were removed since a revision. With
// Complete set, Records are all there are.
type Changes struct {
	Revision uint64
	Complete bool
	Records  []Record
	Removed  []Trait
}
