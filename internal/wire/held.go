package wire

import (
	"swiftbeam/internal/stream"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
)

// SegmentToPB returns the message for a segment of a stream record.
func SegmentToPB(p stream.Segment) *peerpb.HeldRequest {
	return &peerpb.HeldRequest{
		Id: p.ID, Account: p.Account, Service: p.Service, Route: p.Route, Body: p.Body, Chat: p.Chat,
		Version: p.Version, Holder: p.Holder, Epoch: p.Epoch, First: uint32(p.First), Tokens: p.Tokens,
		Done: p.Done, Finish: toText(p.Finish), Failure: toText(p.Failure), AcceptedAt: int64(p.AcceptedAt),
	}
}

// SegmentFromPB returns the segment of a stream record in a message.
func SegmentFromPB(m *peerpb.HeldRequest) stream.Segment {
	return stream.Segment{
		Request: stream.Request{
			ID: m.GetId(), Account: m.GetAccount(), Service: m.GetService(), Route: m.GetRoute(),
			Body: m.GetBody(), Chat: m.GetChat(), AcceptedAt: clock.Instant(m.GetAcceptedAt()),
		},
		Version: m.GetVersion(), Holder: m.GetHolder(), Epoch: m.GetEpoch(), First: int(m.GetFirst()),
		Tokens: m.GetTokens(), Done: m.GetDone(), Finish: m.GetFinish(), Failure: m.GetFailure(),
	}
}
