package core

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"swiftbeam/internal/duty"
	"swiftbeam/internal/meter"
	"swiftbeam/internal/quorum"
	"swiftbeam/internal/runner"
	"swiftbeam/pkg/clock"
)

// cloudTimeout bounds a call to the cloud.
const cloudTimeout = clock.Second

// callCounts counts the calls to the cloud.
type callCounts struct {
	allowed, written, unanswered atomic.Int64
}

func (n *callCounts) register(r metrics.Registry) {
	meter.RegisterGauge(r, "core.cloudCallsAllowed", n.allowed.Load)
	meter.RegisterGauge(r, "core.cloudCallsWritten", n.written.Load)
	meter.RegisterGauge(r, "core.cloudCallsUnanswered", n.unanswered.Load)
}

// cloudCall is one call to the cloud, with the times at which it was allowed, written and answered.
type cloudCall struct {
	holder     duty.Holder
	number     duty.Call
	allowedAt  clock.Instant
	contactAge clock.Duration
	writtenAt  clock.Instant
	answeredAt clock.Instant
	answer     duty.Answer
	err        error
}

// fields returns the times of the call for its line in the log. Times are relative to allowedAt; -1 means never.
func (call *cloudCall) fields() []any {
	written := clock.Duration(-1)
	if call.writtenAt > 0 {
		written = call.writtenAt.Sub(call.allowedAt)
	}
	return []any{
		"fence", call.holder.Fence, "answer", call.answer.String(), "contactAgeMs", int64(call.contactAge), "writtenMs", int64(written),
		"tookMs", int64(call.answeredAt.Sub(call.allowedAt)), "error", errorText(call.err),
	}
}

// callCloud makes a call to the cloud when the rate of calls allows it. It returns nil if this daemon may send no call then.
func (c *Core) callCloud(ctx context.Context, do func(context.Context, duty.Holder) (duty.Answer, error)) *cloudCall {
	c.waitForRate(ctx)
	ctx, cancel := context.WithTimeout(ctx, cloudTimeout.Std())
	defer cancel()
	call, ok := c.beginCall()
	if !ok {
		return nil
	}
	c.calls.allowed.Add(1)
	ctx = duty.WithGate(ctx, duty.Gate{Clock: c.clock, Open: func() (clock.Instant, bool) { return c.maySendUntil(call.holder.Fence) }})
	written := atomic.Int64{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) {
		if i.Err == nil {
			written.Store(int64(c.clock.Now()))
			c.calls.written.Add(1)
		}
	}})
	call.answer, call.err = do(ctx, call.holder)
	call.writtenAt, call.answeredAt = clock.Instant(written.Load()), c.clock.Now()
	c.endCall(call)
	return call
}

// endCall records how a call has ended.
func (c *Core) endCall(call *cloudCall) {
	outcome := duty.Answered
	switch {
	case errors.Is(call.err, duty.ErrUnsent):
		outcome = duty.Unsent
	case call.err != nil:
		outcome = duty.Unanswered
		c.calls.unanswered.Add(1)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.duties.tenure.Ended(call.answeredAt, call.number, outcome)
}

// waitForRate pauses before a call to the cloud to stay within the configured rate.
func (c *Core) waitForRate(ctx context.Context) {
	now := c.clock.Now()
	c.mu.Lock()
	at := max(now, c.duties.nextCallAt)
	c.duties.nextCallAt = at.Add(clock.Duration(1000 / max(c.Settings.Duties.CallsPerSecond, 1)))
	c.mu.Unlock()
	runner.Pause(ctx, at.Sub(now))
}

// maySend reports whether a call to the cloud may be sent now.
func (c *Core) maySend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maySendLocked()
}

func (c *Core) maySendLocked() bool {
	clock.Refresh(c.clock)
	status := c.Store.Status()
	if status.Role != quorum.Leader || status.Term != c.duties.tenureTerm {
		return false
	}
	return c.duties.tenure.MaySend(c.clock.Now(), status.ContactAt, c.dutySettings())
}

func (c *Core) dutySettings() duty.Settings {
	s := c.Settings.Duties
	return duty.Settings{Lease: s.Lease, MaxPause: s.Thaw, MaxTransit: cloudTimeout, MaxContactAge: ElectionTimeout / 2}
}

// maySendUntil returns the time until which a call with a fencing number may be sent, and reports whether it may be sent now.
func (c *Core) maySendUntil(fence uint64) (clock.Instant, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, contactAt := c.dutySettings(), c.Store.Status().ContactAt
	if c.duties.tenure.Fence != fence || !c.maySendLocked() {
		return 0, false
	}
	return s.SendBy(contactAt), true
}

// beginCall records that a call to the cloud is sent now. It reports false if no call may be sent.
func (c *Core) beginCall() (*cloudCall, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.maySendLocked() {
		return nil, false
	}
	now := c.clock.Now()
	return &cloudCall{
		holder: duty.Holder{Name: c.Settings.Name, Fence: c.duties.tenure.Fence}, number: c.duties.tenure.Sent(now, c.dutySettings()), allowedAt: now,
		contactAge: now.Sub(c.Store.Status().ContactAt),
	}, true
}
