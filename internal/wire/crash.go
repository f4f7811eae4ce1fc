package wire

import (
	"swiftbeam/internal/crash"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
)

// EvidenceToPB returns the message for evidence of crashes, or nil if there is none.
func EvidenceToPB(e *crash.Evidence) *peerpb.CrashEvidence {
	if e.Empty() && len(e.Traffic) == 0 {
		return nil
	}
	m := &peerpb.CrashEvidence{}
	for i := range e.Ends {
		m.Ends = append(m.Ends, endToPB(&e.Ends[i]))
	}
	for i := range e.Successes {
		s := &e.Successes[i]
		m.Successes = append(m.Successes, &peerpb.CrashSuccess{Trait: s.Trait[:], SentAt: int64(s.SentAt), At: int64(s.At)})
	}
	for i := range e.Trials {
		m.Trials = append(m.Trials, &peerpb.CrashTrial{Trait: e.Trials[i].Trait[:], Daemon: e.Trials[i].Daemon})
	}
	for _, s := range e.Survivors {
		m.Survivors = append(m.Survivors, &peerpb.CrashSurvivor{Server: s.Server, SeenAt: int64(s.SeenAt)})
	}
	for i := range e.Traffic {
		m.Traffic = append(m.Traffic, trafficToPB(e.Traffic[i]))
	}
	return m
}

// EvidenceFromPB returns the evidence of crashes in a message, which may be nil.
func EvidenceFromPB(m *peerpb.CrashEvidence) crash.Evidence {
	var e crash.Evidence
	for _, end := range m.GetEnds() {
		e.Ends = append(e.Ends, endFromPB(end))
	}
	for _, s := range m.GetSuccesses() {
		e.Successes = append(e.Successes, crash.Success{Trait: traitFromPB(s.GetTrait()), SentAt: clock.Instant(s.GetSentAt()), At: clock.Instant(s.GetAt())})
	}
	for _, t := range m.GetTrials() {
		e.Trials = append(e.Trials, crash.Trial{Trait: traitFromPB(t.GetTrait()), Daemon: t.GetDaemon()})
	}
	for _, s := range m.GetSurvivors() {
		e.Survivors = append(e.Survivors, crash.Survivor{Server: s.GetServer(), SeenAt: clock.Instant(s.GetSeenAt())})
	}
	for _, t := range m.GetTraffic() {
		e.Traffic = append(e.Traffic, trafficFromPB(t))
	}
	return e
}

// ChecksToPB returns the messages for checks of servers.
func ChecksToPB(list []crash.Check) []*peerpb.CrashCheck {
	messages := make([]*peerpb.CrashCheck, 0, len(list))
	for _, c := range list {
		messages = append(messages, &peerpb.CrashCheck{Service: c.Service, Server: c.Server, At: int64(c.At)})
	}
	return messages
}

// ChecksFromPB returns the checks of servers in messages.
func ChecksFromPB(messages []*peerpb.CrashCheck) []crash.Check {
	list := make([]crash.Check, 0, len(messages))
	for _, m := range messages {
		list = append(list, crash.Check{Service: m.GetService(), Server: m.GetServer(), At: clock.Instant(m.GetAt())})
	}
	return list
}

func endToPB(e *crash.End) *peerpb.CrashEnd {
	m := &peerpb.CrashEnd{Service: e.Service, Server: e.Server, Daemon: e.Daemon, At: int64(e.At)}
	for _, run := range e.Runs {
		r := &peerpb.CrashRun{SentAt: int64(run.SentAt)}
		for i := range run.Suspects {
			r.Suspects = append(r.Suspects, suspectToPB(&run.Suspects[i]))
		}
		m.Runs = append(m.Runs, r)
	}
	return m
}

func endFromPB(m *peerpb.CrashEnd) crash.End {
	e := crash.End{Service: m.GetService(), Server: m.GetServer(), Daemon: m.GetDaemon(), At: clock.Instant(m.GetAt())}
	for _, r := range m.GetRuns() {
		run := crash.Run{SentAt: clock.Instant(r.GetSentAt())}
		for _, s := range r.GetSuspects() {
			run.Suspects = append(run.Suspects, suspectFromPB(s))
		}
		e.Runs = append(e.Runs, run)
	}
	return e
}

func suspectToPB(s *crash.Suspect) *peerpb.CrashSuspect {
	return &peerpb.CrashSuspect{Trait: s.Trait[:], Kind: uint32(s.Kind), Name: toText(s.Name)}
}

func suspectFromPB(m *peerpb.CrashSuspect) crash.Suspect {
	return crash.Suspect{Trait: traitFromPB(m.GetTrait()), Kind: crash.Kind(m.GetKind()), Name: m.GetName()}
}

// traitFromPB returns a trait. Bytes that are missing are zero.
func traitFromPB(b []byte) crash.Trait {
	var t crash.Trait
	copy(t[:], b)
	return t
}

func trafficToPB(t crash.Traffic) *peerpb.CrashTraffic {
	return &peerpb.CrashTraffic{Service: t.Service, PerSecond: t.PerSecond, Completed: t.Completed}
}

func trafficFromPB(m *peerpb.CrashTraffic) crash.Traffic {
	return crash.Traffic{Service: m.GetService(), PerSecond: m.GetPerSecond(), Completed: m.GetCompleted()}
}

func crashRecordToPB(r *crash.Record) *peerpb.CrashRecord {
	return &peerpb.CrashRecord{
		Suspect: suspectToPB(&r.Suspect), Service: r.Service, FirstEnd: int64(r.FirstEnd), LastEnd: int64(r.LastEnd), Broken: uint32(r.Broken),
		Proven: r.Proven, Completed: r.Completed, ListedAt: int64(r.ListedAt), BlockedAt: int64(r.BlockedAt), Trials: uint32(r.Trials),
		TrialBy: r.TrialBy, NextTrial: int64(r.NextTrial), Revision: r.Revision,
	}
}

func crashRecordFromPB(m *peerpb.CrashRecord) crash.Record {
	return crash.Record{
		Suspect: suspectFromPB(m.GetSuspect()), Service: m.GetService(), FirstEnd: clock.Instant(m.GetFirstEnd()), LastEnd: clock.Instant(m.GetLastEnd()),
		Broken: int(m.GetBroken()), Proven: m.GetProven(), Completed: m.GetCompleted(), ListedAt: clock.Instant(m.GetListedAt()),
		BlockedAt: clock.Instant(m.GetBlockedAt()), Trials: int(m.GetTrials()), TrialBy: m.GetTrialBy(),
		NextTrial: clock.Instant(m.GetNextTrial()), Revision: m.GetRevision(),
	}
}

// CrashChangesToPB returns the message for changes of the table of traits, without the requests that broke.
func CrashChangesToPB(c *crash.Changes) *peerpb.CrashChanges {
	m := &peerpb.CrashChanges{Revision: c.Revision, Complete: c.Complete}
	for i := range c.Records {
		m.Records = append(m.Records, crashRecordToPB(&c.Records[i]))
	}
	for i := range c.Removed {
		m.Removed = append(m.Removed, c.Removed[i][:])
	}
	return m
}

// CrashChangesFromPB returns the changes of the table of traits in a message.
func CrashChangesFromPB(m *peerpb.CrashChanges) crash.Changes {
	c := crash.Changes{Revision: m.GetRevision(), Complete: m.GetComplete()}
	for _, r := range m.GetRecords() {
		c.Records = append(c.Records, crashRecordFromPB(r))
	}
	for _, t := range m.GetRemoved() {
		c.Removed = append(c.Removed, traitFromPB(t))
	}
	return c
}

func crashTableToPB(t *crash.Table) *peerpb.CrashTable {
	m := &peerpb.CrashTable{Revision: t.Revision, Forgotten: t.Forgotten}
	for _, r := range t.Records {
		record := crashRecordToPB(r)
		for _, b := range r.Breaks {
			record.Breaks = append(record.Breaks, &peerpb.CrashBreak{Server: b.Server, SentAt: int64(b.SentAt), At: int64(b.At)})
		}
		m.Records = append(m.Records, record)
	}
	for _, e := range t.Ends {
		m.Ends = append(m.Ends, &peerpb.CrashEnd{Service: e.Service, Server: e.Server, Daemon: e.Daemon, At: int64(e.At), RunCount: uint32(e.Runs), SurvivedAt: int64(e.SurvivedAt), Dropped: uint32(e.Dropped)})
	}
	for _, traffic := range t.Traffic {
		m.Traffic = append(m.Traffic, trafficToPB(traffic))
	}
	for i := range t.Removals {
		m.Removals = append(m.Removals, &peerpb.CrashRemoval{Trait: t.Removals[i].Trait[:], Revision: t.Removals[i].Revision})
	}
	sortBy(m.Traffic, (*peerpb.CrashTraffic).GetService)
	sortBy(m.Records, func(r *peerpb.CrashRecord) string { return string(r.GetSuspect().GetTrait()) })
	return m
}

func crashTableFromPB(m *peerpb.CrashTable) crash.Table {
	t := crash.Table{Revision: m.GetRevision(), Forgotten: m.GetForgotten()}
	for _, record := range m.GetRecords() {
		r := crashRecordFromPB(record)
		for _, b := range record.GetBreaks() {
			r.Breaks = append(r.Breaks, crash.BrokenRun{Server: b.GetServer(), SentAt: clock.Instant(b.GetSentAt()), At: clock.Instant(b.GetAt())})
		}
		if t.Records == nil {
			t.Records = make(map[crash.Trait]*crash.Record)
		}
		t.Records[r.Trait] = &r
	}
	for _, e := range m.GetEnds() {
		t.Ends = append(t.Ends, crash.EndSummary{
			Service: e.GetService(), Server: e.GetServer(), Daemon: e.GetDaemon(), At: clock.Instant(e.GetAt()), Runs: int(e.GetRunCount()),
			SurvivedAt: clock.Instant(e.GetSurvivedAt()), Dropped: int(e.GetDropped()),
		})
	}
	for _, traffic := range m.GetTraffic() {
		if t.Traffic == nil {
			t.Traffic = make(map[string]crash.Traffic)
		}
		t.Traffic[traffic.GetService()] = trafficFromPB(traffic)
	}
	for _, r := range m.GetRemovals() {
		t.Removals = append(t.Removals, crash.Removal{Trait: traitFromPB(r.GetTrait()), Revision: r.GetRevision()})
	}
	return t
}
