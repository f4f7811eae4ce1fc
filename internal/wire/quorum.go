// Package wire converts domain types to the protobuf messages of package peerpb and back, for the
// network and for the disk. Domain types carry no tags; only this package depends on both sides.
//
//	data := wire.EncodeEntry(e)
//	e, err := wire.DecodeEntry(data)
package wire

import (
	"strings"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"swiftbeam/internal/fault"
	"swiftbeam/internal/quorum"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
)

// EncodeEntry returns the stored form of a log entry.
func EncodeEntry(e quorum.Entry) []byte { return encode(entryToPB(e)) }

// DecodeEntry decodes the output of EncodeEntry.
func DecodeEntry(data []byte) (quorum.Entry, error) {
	var m peerpb.Entry
	if err := decode(data, &m); err != nil {
		return quorum.Entry{}, err
	}
	return entryFromPB(&m)
}

// EncodeHardState returns the stored form of a hard state.
func EncodeHardState(h quorum.HardState) []byte {
	return encode(&peerpb.HardState{Term: h.Term, Vote: string(h.Vote)})
}

// DecodeHardState decodes the output of EncodeHardState.
func DecodeHardState(data []byte) (quorum.HardState, error) {
	var m peerpb.HardState
	err := decode(data, &m)
	return quorum.HardState{Term: m.GetTerm(), Vote: quorum.ID(m.GetVote())}, err
}

// EncodeSnapshot returns the stored form of a snapshot.
func EncodeSnapshot(s quorum.Snapshot) []byte { return encode(snapshotToPB(&s)) }

// DecodeSnapshot decodes the output of EncodeSnapshot.
func DecodeSnapshot(data []byte) (quorum.Snapshot, error) {
	var m peerpb.Snapshot
	if err := decode(data, &m); err != nil {
		return quorum.Snapshot{}, err
	}
	return *snapshotFromPB(&m), nil
}

// EnvelopeToPB returns the protobuf message for a consensus message.
func EnvelopeToPB(m quorum.Message) *peerpb.Envelope {
	e := &peerpb.Envelope{
		Kind: uint32(m.Kind), From: string(m.From), To: string(m.To), Term: m.Term,
		Index: m.Index, LogTerm: m.LogTerm, Commit: m.Commit,
		Reject: m.Reject, Hint: m.Hint, Force: m.Force, Sent: int64(m.Sent),
	}
	for _, entry := range m.Entries {
		e.Entries = append(e.Entries, entryToPB(entry))
	}
	if m.Snapshot != nil {
		e.Snapshot = snapshotToPB(m.Snapshot)
	}
	return e
}

// EnvelopeFromPB returns the consensus message in a received envelope. It returns an error if the kind
// of the message or of an entry is unknown, a snapshot is missing, or entries are not consecutive.
func EnvelopeFromPB(e *peerpb.Envelope) (quorum.Message, error) {
	m := quorum.Message{
		Kind: quorum.MessageKind(e.GetKind()), From: quorum.ID(e.GetFrom()), To: quorum.ID(e.GetTo()),
		Term: e.GetTerm(), Index: e.GetIndex(), LogTerm: e.GetLogTerm(), Commit: e.GetCommit(),
		Reject: e.GetReject(), Hint: e.GetHint(), Force: e.GetForce(), Sent: clock.Instant(e.GetSent()),
	}
	if e.GetKind() > uint32(quorum.TimeoutNow) {
		return m, malformed("message kind %d", e.GetKind())
	}
	if m.Kind == quorum.Install && e.GetSnapshot() == nil {
		return m, malformed("install message without a snapshot")
	}
	for i, entry := range e.GetEntries() {
		mapped, err := entryFromPB(entry)
		if err != nil {
			return m, err
		}
		if mapped.Index != m.Index+uint64(i)+1 {
			return m, malformed("got entry %d, want entry %d", mapped.Index, m.Index+uint64(i)+1)
		}
		m.Entries = append(m.Entries, mapped)
	}
	if e.GetSnapshot() != nil {
		m.Snapshot = snapshotFromPB(e.GetSnapshot())
	}
	return m, nil
}

func entryToPB(e quorum.Entry) *peerpb.Entry {
	m := &peerpb.Entry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data}
	if e.Kind == quorum.Config {
		m.Data = encode(membersToPB(e.Members))
	}
	return m
}

func entryFromPB(m *peerpb.Entry) (quorum.Entry, error) {
	e := quorum.Entry{Index: m.GetIndex(), Term: m.GetTerm(), Kind: quorum.EntryKind(m.GetKind()), Data: m.GetData()}
	if m.GetKind() > uint32(quorum.Config) {
		return e, malformed("entry kind %d", m.GetKind())
	}
	if e.Kind != quorum.Config {
		return e, nil
	}
	var members peerpb.Members
	if err := decode(e.Data, &members); err != nil {
		return e, err
	}
	e.Data = nil
	e.Members = membersFromPB(&members)
	return e, nil
}

func snapshotToPB(s *quorum.Snapshot) *peerpb.Snapshot {
	return &peerpb.Snapshot{Index: s.Index, Term: s.Term, Members: membersToPB(s.Members), Data: s.Data}
}

func snapshotFromPB(m *peerpb.Snapshot) *quorum.Snapshot {
	return &quorum.Snapshot{
		Index: m.GetIndex(), Term: m.GetTerm(), Members: membersFromPB(m.GetMembers()), Data: m.GetData(),
	}
}

func membersToPB(members []quorum.Member) *peerpb.Members {
	list := &peerpb.Members{}
	for _, m := range members {
		list.Members = append(list.Members, MemberToPB(m))
	}
	return list
}

func membersFromPB(list *peerpb.Members) []quorum.Member {
	var members []quorum.Member
	for _, m := range list.GetMembers() {
		members = append(members, MemberFromPB(m))
	}
	return members
}

// MemberToPB returns the message for a member of the replication group.
func MemberToPB(m quorum.Member) *peerpb.Member {
	return &peerpb.Member{
		Id: string(m.ID), Name: m.Name, Address: m.Address, Zone: m.Zone, Region: m.Region,
		Voter: m.Voter, Disk: m.Disk,
	}
}

// MemberFromPB returns the member of the replication group in a message.
func MemberFromPB(m *peerpb.Member) quorum.Member {
	return quorum.Member{
		ID: quorum.ID(m.GetId()), Name: m.GetName(), Address: m.GetAddress(), Zone: m.GetZone(),
		Region: m.GetRegion(), Voter: m.GetVoter(), Disk: m.GetDisk(),
	}
}

func encode(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic("wire: " + err.Error())
	}
	return data
}

// toText replaces what is no UTF-8, which messages cannot contain. It is for texts of requests and responses that
// identify nothing.
func toText(text string) string { return strings.ToValidUTF8(text, string(utf8.RuneError)) }

func decode(data []byte, m proto.Message) error {
	if err := proto.Unmarshal(data, m); err != nil {
		return malformed("%v", err)
	}
	return nil
}

func malformed(format string, args ...any) error {
	return fault.New(fault.Invalid, "malformed message: "+format, args...).
		Remedy("run the same release on all daemons")
}
