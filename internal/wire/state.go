package wire

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"swiftbeam/internal/enrol"
	"swiftbeam/internal/moves"
	"swiftbeam/internal/quota"
	"swiftbeam/internal/state"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
)

// EncodeCommand returns the stored form of a command.
func EncodeCommand(c state.Command) []byte {
	m := &peerpb.Command{At: int64(c.At)}
	switch b := c.Body.(type) {
	case state.PutSection:
		m.Body = &peerpb.Command_PutSection{PutSection: &peerpb.PutSection{
			Operation: b.Operation, Section: b.Section, Owner: b.Owner, Base: b.Base, Body: b.Text,
		}}
	case state.OnceBegin:
		m.Body = &peerpb.Command_OnceBegin{OnceBegin: &peerpb.OnceBegin{
			Account: b.Account, Route: b.Route, Key: b.Key, Digest: b.Digest, Request: b.Request, Holder: b.Holder,
		}}
	case state.OnceEnd:
		m.Body = &peerpb.Command_OnceEnd{OnceEnd: &peerpb.OnceEnd{
			Account: b.Account, Route: b.Route, Key: b.Key, Request: b.Request,
			Outcome: uint32(b.Outcome), Status: uint32(b.Status), ContentType: toText(b.ContentType), Body: b.Body,
			BodyOmitted: b.BodyOmitted,
		}}
	case state.MoveStep:
		m.Body = &peerpb.Command_MoveStep{MoveStep: moveStepToPB(b)}
	case state.TakeOrder:
		m.Body = &peerpb.Command_TakeOrder{TakeOrder: &peerpb.TakeOrder{
			Operation: b.Operation, Target: b.Target, Kind: uint32(b.Kind), Argument: b.Argument, Holder: b.Holder,
		}}
	case state.EndOrder:
		m.Body = &peerpb.Command_EndOrder{EndOrder: &peerpb.EndOrder{
			Operation: b.Operation, Fence: b.Fence, Done: b.Done,
		}}
	case state.PutRules:
		m.Body = &peerpb.Command_PutRules{PutRules: &peerpb.PutRules{Version: b.Version, Text: b.Text}}
	case state.PutUsage:
		m.Body = &peerpb.Command_PutUsage{PutUsage: &peerpb.PutUsage{Number: b.Number, Counts: b.Counts}}
	case state.StartRollout:
		m.Body = &peerpb.Command_StartRollout{StartRollout: &peerpb.StartRollout{
			Service: b.Service, Target: b.Target, At: int64(b.At), FinishBy: int64(b.FinishBy), Seen: (*int64)(b.Seen),
		}}
	case state.StepRollout:
		m.Body = &peerpb.Command_StepRollout{StepRollout: &peerpb.StepRollout{Step: moveStepToPB(b.MoveStep), At: int64(b.At), Trial: uint32(b.Trial)}}
	case state.RecordCrashes:
		m.Body = &peerpb.Command_RecordCrashes{RecordCrashes: &peerpb.RecordCrashes{At: int64(b.At), Evidence: EvidenceToPB(&b.Evidence)}}
	case state.RecordSpending:
		m.Body = &peerpb.Command_RecordSpending{RecordSpending: &peerpb.RecordSpending{Records: spendingToPB(b.Records)}}
	case state.EvacuateZone:
		m.Body = &peerpb.Command_EvacuateZone{EvacuateZone: &peerpb.EvacuateZone{Zone: b.Zone, By: b.By, At: int64(b.At), Seen: (*int64)(b.Seen)}}
	case state.ReturnZone:
		m.Body = &peerpb.Command_ReturnZone{ReturnZone: &peerpb.ReturnZone{Zone: b.Zone, By: b.By, At: int64(b.At), Seen: (*int64)(b.Seen)}}
	case state.RecordDepartures:
		m.Body = &peerpb.Command_RecordDepartures{RecordDepartures: &peerpb.RecordDepartures{Departures: departuresToPB(b.Departures)}}
	case state.Barrier:
		m.Body = &peerpb.Command_Barrier{Barrier: &peerpb.Barrier{}}
	}
	return encode(m)
}

// DecodeCommand decodes the output of EncodeCommand.
func DecodeCommand(data []byte) (state.Command, error) {
	var m peerpb.Command
	if err := decode(data, &m); err != nil {
		return state.Command{}, err
	}
	c := state.Command{At: clock.Instant(m.GetAt())}
	switch b := m.GetBody().(type) {
	case *peerpb.Command_PutSection:
		p := b.PutSection
		c.Body = state.PutSection{
			Operation: p.GetOperation(), Section: p.GetSection(), Owner: p.GetOwner(), Base: p.GetBase(), Text: p.GetBody(),
		}
	case *peerpb.Command_OnceBegin:
		p := b.OnceBegin
		c.Body = state.OnceBegin{
			OnceKey: state.OnceKey{Account: p.GetAccount(), Route: p.GetRoute(), Key: p.GetKey()},
			Digest:  p.GetDigest(), Request: p.GetRequest(), Holder: p.GetHolder(),
		}
	case *peerpb.Command_OnceEnd:
		p := b.OnceEnd
		c.Body = state.OnceEnd{
			OnceKey: state.OnceKey{Account: p.GetAccount(), Route: p.GetRoute(), Key: p.GetKey()},
			Request: p.GetRequest(), Outcome: state.OnceOutcome(p.GetOutcome()), Status: int(p.GetStatus()),
			ContentType: p.GetContentType(), Body: p.GetBody(), BodyOmitted: p.GetBodyOmitted(),
		}
	case *peerpb.Command_MoveStep:
		c.Body = moveStepFromPB(b.MoveStep)
	case *peerpb.Command_TakeOrder:
		p := b.TakeOrder
		c.Body = state.TakeOrder{
			Operation: p.GetOperation(), Target: p.GetTarget(), Kind: state.OrderKind(p.GetKind()),
			Argument: p.GetArgument(), Holder: p.GetHolder(),
		}
	case *peerpb.Command_EndOrder:
		p := b.EndOrder
		c.Body = state.EndOrder{Operation: p.GetOperation(), Fence: p.GetFence(), Done: p.GetDone()}
	case *peerpb.Command_PutRules:
		c.Body = state.PutRules{Version: b.PutRules.GetVersion(), Text: b.PutRules.GetText()}
	case *peerpb.Command_PutUsage:
		c.Body = state.PutUsage{Number: b.PutUsage.GetNumber(), Counts: b.PutUsage.GetCounts()}
	case *peerpb.Command_StartRollout:
		p := b.StartRollout
		c.Body = state.StartRollout{
			Service: p.GetService(), Target: p.GetTarget(), At: clock.Instant(p.GetAt()), FinishBy: clock.Instant(p.GetFinishBy()), Seen: (*clock.Instant)(p.Seen),
		}
	case *peerpb.Command_StepRollout:
		p := b.StepRollout
		c.Body = state.StepRollout{MoveStep: moveStepFromPB(p.GetStep()), At: clock.Instant(p.GetAt()), Trial: int(p.GetTrial())}
	case *peerpb.Command_RecordCrashes:
		c.Body = state.RecordCrashes{At: clock.Instant(b.RecordCrashes.GetAt()), Evidence: EvidenceFromPB(b.RecordCrashes.GetEvidence())}
	case *peerpb.Command_RecordSpending:
		c.Body = state.RecordSpending{Records: spendingFromPB(b.RecordSpending.GetRecords())}
	case *peerpb.Command_EvacuateZone:
		p := b.EvacuateZone
		c.Body = state.EvacuateZone{Zone: p.GetZone(), By: p.GetBy(), At: clock.Instant(p.GetAt()), Seen: (*clock.Instant)(p.Seen)}
	case *peerpb.Command_ReturnZone:
		p := b.ReturnZone
		c.Body = state.ReturnZone{Zone: p.GetZone(), By: p.GetBy(), At: clock.Instant(p.GetAt()), Seen: (*clock.Instant)(p.Seen)}
	case *peerpb.Command_RecordDepartures:
		c.Body = state.RecordDepartures{Departures: departuresFromPB(b.RecordDepartures.GetDepartures())}
	case *peerpb.Command_Barrier:
		c.Body = state.Barrier{}
	default:
		return c, malformed("command without a body")
	}
	return c, nil
}

// EncodeResult returns the form in which daemons send a result to each other.
func EncodeResult(r state.Result) []byte { return encode(resultToPB(r)) }

// DecodeResult decodes the output of EncodeResult.
func DecodeResult(data []byte) (state.Result, error) {
	var m peerpb.Result
	if err := decode(data, &m); err != nil {
		return state.Result{}, err
	}
	return resultFromPB(&m), nil
}

func resultToPB(r state.Result) *peerpb.Result {
	m := &peerpb.Result{Code: uint32(r.Code), Detail: r.Detail, Version: r.Version, Fence: r.Fence}
	if r.Once != nil {
		m.Once = onceToPB(r.Once)
	}
	return m
}

func resultFromPB(m *peerpb.Result) state.Result {
	r := state.Result{Code: state.Code(m.GetCode()), Detail: m.GetDetail(), Version: m.GetVersion(), Fence: m.GetFence()}
	if m.GetOnce() != nil {
		r.Once = onceFromPB(m.GetOnce())
	}
	return r
}

func onceToPB(r *state.OnceRecord) *peerpb.OnceRecord {
	return &peerpb.OnceRecord{
		Account: r.Account, Route: r.Route, Key: r.Key, Digest: r.Digest, Request: r.Request, Holder: r.Holder,
		Outcome: uint32(r.Outcome), Status: uint32(r.Status), ContentType: toText(r.ContentType), Body: r.Body, At: int64(r.At),
		BodyOmitted: r.BodyOmitted,
	}
}

func onceFromPB(m *peerpb.OnceRecord) *state.OnceRecord {
	return &state.OnceRecord{
		OnceKey: state.OnceKey{Account: m.GetAccount(), Route: m.GetRoute(), Key: m.GetKey()},
		Digest:  m.GetDigest(), Request: m.GetRequest(), Holder: m.GetHolder(),
		Outcome: state.OnceOutcome(m.GetOutcome()), Status: int(m.GetStatus()),
		ContentType: m.GetContentType(), Body: m.GetBody(), At: clock.Instant(m.GetAt()),
		BodyOmitted: m.GetBodyOmitted(),
	}
}

// EncodeState returns the content of a snapshot of the state. Equal states have equal encodings.
func EncodeState(s *state.State) []byte {
	m := &peerpb.StateImage{
		Applied: s.Applied, Version: s.Version, VersionAt: s.VersionAt, Fence: s.Fence, Now: int64(s.Now), SweptAt: int64(s.SweptAt),
	}
	for _, section := range s.Sections {
		m.Sections = append(m.Sections, sectionToPB(section))
	}
	for _, o := range s.Operations {
		m.Operations = append(m.Operations, &peerpb.Operation{Id: o.ID, Result: resultToPB(o.Result), At: int64(o.At)})
	}
	for _, r := range s.Once {
		m.Once = append(m.Once, onceToPB(r))
	}
	for _, v := range s.Moves {
		m.Moves = append(m.Moves, moveToPB(v))
	}
	for _, o := range s.Orders {
		m.Orders = append(m.Orders, orderToPB(o))
	}
	if s.Rules.Version > 0 {
		m.Rules = &peerpb.PutRules{Version: s.Rules.Version, Text: s.Rules.Text}
	}
	for _, u := range s.Usage {
		m.Usage = append(m.Usage, &peerpb.PutUsage{Number: u.Number, Counts: u.Counts})
	}
	for _, r := range s.Rollouts {
		m.Rollouts = append(m.Rollouts, RolloutToPB(r))
	}
	m.Crashes = crashTableToPB(&s.Crashes)
	m.Spending = spendingToPB(slices.Collect(maps.Values(s.Spending)))
	for _, e := range s.Evacuations {
		m.Evacuations = append(m.Evacuations, EvacuationToPB(e))
	}
	m.Departures = departuresToPB(slices.Collect(maps.Values(s.Departures)))
	sortImage(m)
	return encode(m)
}

func sortImage(m *peerpb.StateImage) {
	sortBy(m.Sections, (*peerpb.Section).GetName)
	sortBy(m.Operations, (*peerpb.Operation).GetId)
	sortBy(m.Moves, (*peerpb.Move).GetService)
	sortBy(m.Orders, (*peerpb.OrderRecord).GetOperation)
	sortBy(m.Spending, (*peerpb.SpendingRecord).GetAccount)
	sortBy(m.Evacuations, (*peerpb.EvacuationRecord).GetZone)
	sortBy(m.Departures, (*peerpb.DepartureRecord).GetId)
	sortBy(m.Rollouts, func(r *peerpb.RolloutRecord) string { return r.GetMove().GetService() })
	slices.SortFunc(m.Usage, func(a, b *peerpb.PutUsage) int { return cmp.Compare(a.Number, b.Number) })
	slices.SortFunc(m.Once, func(a, b *peerpb.OnceRecord) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Key, b.Key))
	})
}

func sortBy[T any](list []T, key func(T) string) {
	slices.SortFunc(list, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
}

// DecodeState decodes the output of EncodeState.
func DecodeState(data []byte) (*state.State, error) {
	var m peerpb.StateImage
	if err := decode(data, &m); err != nil {
		return nil, err
	}
	s := &state.State{}
	s.Rebuild()
	s.Applied, s.Fence = m.GetApplied(), m.GetFence()
	s.Version, s.VersionAt = m.GetVersion(), m.GetVersionAt()
	s.Now, s.SweptAt = clock.Instant(m.GetNow()), clock.Instant(m.GetSweptAt())
	for _, section := range m.GetSections() {
		s.Sections[section.GetName()] = sectionFromPB(section)
	}
	for _, o := range m.GetOperations() {
		s.Operations[o.GetId()] = state.Operation{ID: o.GetId(), Result: resultFromPB(o.GetResult()), At: clock.Instant(o.GetAt())}
	}
	for _, r := range m.GetOnce() {
		record := onceFromPB(r)
		s.Once[record.OnceKey] = record
	}
	for _, v := range m.GetMoves() {
		s.Moves[v.GetService()] = moveFromPB(v)
	}
	for _, o := range m.GetOrders() {
		s.Orders[o.GetOperation()] = orderFromPB(o)
	}
	if r := m.GetRules(); r != nil {
		s.Rules = state.Rules{Version: r.GetVersion(), Text: r.GetText()}
	}
	for _, u := range m.GetUsage() {
		s.Usage[u.GetNumber()] = state.Usage{Number: u.GetNumber(), Counts: u.GetCounts()}
	}
	for _, r := range m.GetRollouts() {
		s.Rollouts[r.GetMove().GetService()] = RolloutFromPB(r)
	}
	s.Crashes = crashTableFromPB(m.GetCrashes())
	for _, r := range spendingFromPB(m.GetSpending()) {
		s.Spending[r.Account] = r
	}
	for _, r := range m.GetEvacuations() {
		s.Evacuations[r.GetZone()] = EvacuationFromPB(r)
	}
	for _, d := range departuresFromPB(m.GetDepartures()) {
		s.Departures[d.Server.ID] = d
		s.DepartureRevision = max(s.DepartureRevision, d.Revision)
	}
	s.Rebuild()
	return s, nil
}

func spendingToPB(records []quota.Record) []*peerpb.SpendingRecord {
	var list []*peerpb.SpendingRecord
	for i := range records {
		list = append(list, &peerpb.SpendingRecord{Account: records[i].Account, At: int64(records[i].At), Spent: records[i].Spent})
	}
	return list
}

func spendingFromPB(list []*peerpb.SpendingRecord) []quota.Record {
	var records []quota.Record
	for _, m := range list {
		records = append(records, quota.Record{Account: m.GetAccount(), At: clock.Instant(m.GetAt()), Spent: m.GetSpent()})
	}
	return records
}

func departuresToPB(departures []state.Departure) []*peerpb.DepartureRecord {
	var list []*peerpb.DepartureRecord
	for i := range departures {
		d, r := &departures[i], &departures[i].Server
		list = append(list, &peerpb.DepartureRecord{
			Id: r.ID, Born: int64(r.Born), At: int64(d.At), Revision: d.Revision, State: uint32(r.State), Sequence: r.Sequence, Service: r.Service,
			Address: r.Address, Zone: r.Zone, Version: r.Version, Slots: uint32(max(r.Slots, 0)), Spot: r.Spot,
		})
	}
	return list
}

func departuresFromPB(list []*peerpb.DepartureRecord) []state.Departure {
	var departures []state.Departure
	for _, m := range list {
		departures = append(departures, state.Departure{At: clock.Instant(m.GetAt()), Revision: m.GetRevision(), Server: enrol.Record{
			ID: m.GetId(), Born: clock.Instant(m.GetBorn()), State: enrol.State(min(m.GetState(), math.MaxUint8)), Sequence: m.GetSequence(),
			Service: m.GetService(), Address: m.GetAddress(), Zone: m.GetZone(), Version: m.GetVersion(), Slots: int(m.GetSlots()), Spot: m.GetSpot(),
		}})
	}
	return departures
}

// EvacuationToPB returns the message for the evacuation of a zone.
func EvacuationToPB(e state.Evacuation) *peerpb.EvacuationRecord {
	return &peerpb.EvacuationRecord{Zone: e.Zone, Evacuated: e.Evacuated, Revision: e.Revision, Since: int64(e.Since), By: e.By}
}

// EvacuationFromPB returns the evacuation in a message.
func EvacuationFromPB(m *peerpb.EvacuationRecord) state.Evacuation {
	return state.Evacuation{Zone: m.GetZone(), Evacuated: m.GetEvacuated(), Revision: m.GetRevision(), Since: clock.Instant(m.GetSince()), By: m.GetBy()}
}

// RolloutToPB returns the message for a rollout.
func RolloutToPB(r *state.Rollout) *peerpb.RolloutRecord {
	return &peerpb.RolloutRecord{Move: moveToPB(&r.Move), Withdrawn: r.Withdrawn}
}

// RolloutFromPB returns the rollout in a message.
func RolloutFromPB(m *peerpb.RolloutRecord) *state.Rollout {
	return &state.Rollout{Move: *moveFromPB(m.GetMove()), Withdrawn: m.GetWithdrawn()}
}

func moveStepToPB(b state.MoveStep) *peerpb.MoveStep {
	return &peerpb.MoveStep{
		Service: b.Service, Version: b.Version, Revision: b.Revision, Stage: uint32(b.Stage),
		Share: uint32(b.Share), Reason: uint32(b.Reason), Evidence: b.Evidence, Faults: b.Faults,
	}
}

func moveStepFromPB(p *peerpb.MoveStep) state.MoveStep {
	return state.MoveStep{
		Service: p.GetService(), Version: p.GetVersion(), Revision: p.GetRevision(), Stage: state.Stage(p.GetStage()),
		Share: int(p.GetShare()), Reason: state.Reason(p.GetReason()), Evidence: p.GetEvidence(),
		Faults: p.GetFaults(),
	}
}

// SampleToPB returns the message for the tally of one service version, route and account.
func SampleToPB(s *moves.Sample) *peerpb.Sample {
	return &peerpb.Sample{
		Service: s.Service, Version: s.Version, Route: s.Route, Account: s.Account, Requests: s.Requests, Failed: s.Failed,
		First: histogramToPB(&s.First), Gap: histogramToPB(&s.Gap), Length: histogramToPB(&s.Length),
	}
}

// SamplesFromPB returns the tallies in the messages, without those whose buckets no value has.
func SamplesFromPB(list []*peerpb.Sample) []moves.Sample {
	samples := make([]moves.Sample, 0, len(list))
	for _, m := range list {
		s := moves.Sample{
			Scope: moves.Scope{Service: m.GetService(), Version: m.GetVersion(), Route: m.GetRoute(), Account: m.GetAccount()},
			Tally: moves.Tally{
				Requests: m.GetRequests(), Failed: m.GetFailed(),
				First: histogramFromPB(m.GetFirst()), Gap: histogramFromPB(m.GetGap()), Length: histogramFromPB(m.GetLength()),
			},
		}
		if s.First.Valid() && s.Gap.Valid() && s.Length.Valid() {
			samples = append(samples, s)
		}
	}
	return samples
}

func histogramToPB(h *moves.Histogram) *peerpb.Histogram {
	if len(h.Counts) == 0 {
		return nil
	}
	return &peerpb.Histogram{First: h.First, Counts: h.Counts}
}

func histogramFromPB(m *peerpb.Histogram) moves.Histogram {
	return moves.Histogram{First: m.GetFirst(), Counts: m.GetCounts()}
}

func sectionToPB(s *state.Section) *peerpb.Section {
	m := &peerpb.Section{Name: s.Name}
	for _, v := range s.History {
		m.History = append(m.History, &peerpb.SectionVersion{
			Version: v.Version, Body: v.Text, Operation: v.Operation, Owner: v.Owner, At: int64(v.At),
		})
	}
	return m
}

func sectionFromPB(m *peerpb.Section) *state.Section {
	s := &state.Section{Name: m.GetName()}
	for _, v := range m.GetHistory() {
		s.History = append(s.History, state.SectionVersion{
			Version: v.GetVersion(), Text: v.GetBody(), Operation: v.GetOperation(), Owner: v.GetOwner(), At: clock.Instant(v.GetAt()),
		})
	}
	return s
}

func moveToPB(v *state.Move) *peerpb.Move {
	return &peerpb.Move{
		Service: v.Service, From: v.From, To: v.To, Started: int64(v.Started), FinishBy: int64(v.FinishBy),
		Revision: v.Revision, Stage: uint32(v.Stage), Share: uint32(v.Share), Reason: uint32(v.Reason),
		Evidence: v.Evidence, StageAt: int64(v.StageAt), Trial: uint32(v.Trial),
		ShareAt: int64(v.ShareAt), Faults: v.Faults,
	}
}

func moveFromPB(m *peerpb.Move) *state.Move {
	return &state.Move{
		Service: m.GetService(), From: m.GetFrom(), To: m.GetTo(),
		Started: clock.Instant(m.GetStarted()), FinishBy: clock.Instant(m.GetFinishBy()),
		Revision: m.GetRevision(), Stage: state.Stage(m.GetStage()), Share: int(m.GetShare()),
		Reason: state.Reason(m.GetReason()), Evidence: m.GetEvidence(),
		StageAt: clock.Instant(m.GetStageAt()), Trial: int(m.GetTrial()),
		ShareAt: clock.Instant(m.GetShareAt()), Faults: m.GetFaults(),
	}
}

func orderToPB(o *state.Order) *peerpb.OrderRecord {
	return &peerpb.OrderRecord{
		Operation: o.Operation, Target: o.Target, Kind: uint32(o.Kind), Argument: o.Argument, Holder: o.Holder,
		Fence: o.Fence, Ended: o.Ended, Done: o.Done, At: int64(o.At),
	}
}

func orderFromPB(m *peerpb.OrderRecord) *state.Order {
	return &state.Order{
		Operation: m.GetOperation(), Target: m.GetTarget(), Kind: state.OrderKind(m.GetKind()),
		Argument: m.GetArgument(), Holder: m.GetHolder(), Fence: m.GetFence(),
		Ended: m.GetEnded(), Done: m.GetDone(), At: clock.Instant(m.GetAt()),
	}
}
