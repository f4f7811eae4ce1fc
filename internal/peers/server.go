package peers

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"connectrpc.com/connect"

	"swiftbeam/internal/fault"
	"swiftbeam/internal/intake"
	"swiftbeam/internal/quorum"
	"swiftbeam/internal/store"
	"swiftbeam/internal/wire"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/internal/wire/peerpb/peerpbconnect"
)

// Gossiper merges gossip messages from other daemons.
type Gossiper interface {
	ReceiveGossip(*peerpb.GossipRequest)
}

// MirrorStore stores copies of the accepted requests of other daemons.
type MirrorStore interface {
	// Mirror stores or extends copies. It returns the IDs of the requests whose copy it could not extend;
	// the caller must resend those from the first token.
	Mirror([]*peerpb.HeldRequest) []string
	// Fetch returns the tokens of a request, starting at an index. If there are none yet, it waits for
	// new ones, at most until ctx ends.
	Fetch(ctx context.Context, r *peerpb.FetchRequest) *peerpb.FetchResponse
}

// Collector receives the evidence that daemons report, on version moves or on crashes of servers.
type Collector interface {
	Collect(*peerpb.ReportRequest)
}

// Server handles calls from other daemons. All fields must be set.
type Server struct {
	Token       string
	Store       *store.Store
	Net         *Net
	Gossiper    Gossiper
	MirrorStore MirrorStore
	Collector   Collector
	// CrashCollector receives the reports of crashes.
	CrashCollector Collector
}

// Handler returns the URL path of the service and its HTTP handler.
func (s *Server) Handler() (string, http.Handler) {
	path, h := peerpbconnect.NewPeersHandler(s, connect.WithInterceptors(s.authorize()),
		connect.WithReadMaxBytes(MaxMessageBytes), connect.WithSendMaxBytes(MaxMessageBytes), connect.WithCompressMinBytes(CompressMinBytes))
	return path, h
}

func (s *Server) authorize() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			token, ok := strings.CutPrefix(r.Header().Get("Authorization"), "Bearer ")
			if !ok || !EqualTokens(token, s.Token) {
				return nil, connect.NewError(connect.CodeUnauthenticated,
					fault.New(fault.Denied, "unknown peer token").Remedy("give all daemons the same peerToken"))
			}
			return next(ctx, r)
		}
	}
}

// RequireToken returns a handler that passes requests with the token to h and rejects all others.
func RequireToken(token string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || !EqualTokens(given, token) {
			// The body is not read.
			w.Header().Set("Connection", "close")
			http.Error(w, "unknown peer token; give all daemons the same peerToken", http.StatusUnauthorized)
			return
		}
		intake.Trust(r)
		h.ServeHTTP(w, r)
	})
}

// EqualTokens compares two tokens in constant time. Empty tokens are never equal.
func EqualTokens(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return a != "" && b != "" && subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

// Deliver passes consensus messages to the store. It leaves out those that this build does not know, as if they had
// been lost, and returns an error about the last of them.
func (s *Server) Deliver(_ context.Context, r *connect.Request[peerpb.DeliverRequest]) (*connect.Response[peerpb.DeliverResponse], error) {
	messages := make([]quorum.Message, 0, len(r.Msg.GetEnvelopes()))
	var invalid error
	for _, e := range r.Msg.GetEnvelopes() {
		m, err := wire.EnvelopeFromPB(e)
		if err != nil {
			invalid = err
			continue
		}
		messages = append(messages, m)
	}
	s.Store.Deliver(wire.MemberFromPB(r.Msg.GetSender()), messages)
	if invalid != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, invalid)
	}
	return connect.NewResponse(&peerpb.DeliverResponse{}), nil
}

// Identify returns this daemon as a member and whether it has joined a group.
func (s *Server) Identify(context.Context, *connect.Request[peerpb.IdentifyRequest]) (*connect.Response[peerpb.IdentifyResponse], error) {
	return connect.NewResponse(&peerpb.IdentifyResponse{
		Member: wire.MemberToPB(s.Store.Self), Formed: !s.Store.Unjoined(),
	}), nil
}

// Join adds a daemon to the replication group. It forwards the call if another daemon is the leader.
func (s *Server) Join(ctx context.Context, r *connect.Request[peerpb.JoinRequest]) (*connect.Response[peerpb.JoinResponse], error) {
	status := s.Store.Status()
	if status.Role != quorum.Leader {
		return s.forwardJoin(ctx, status, r)
	}
	member := wire.MemberFromPB(r.Msg.GetMember())
	if err := s.Store.Change(ctx, quorum.AddLearner, member); err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&peerpb.JoinResponse{}), nil
}

func (s *Server) forwardJoin(ctx context.Context, status store.Status, r *connect.Request[peerpb.JoinRequest]) (*connect.Response[peerpb.JoinResponse], error) {
	if status.LeaderAt == "" || r.Header().Get(forwardedHeader) != "" {
		return nil, connect.NewError(connect.CodeUnavailable, fault.New(fault.Unavailable, "no leader is known").Remedy("retry"))
	}
	forward := connect.NewRequest(r.Msg)
	forward.Header().Set(forwardedHeader, "1")
	return s.Net.Client(status.LeaderAt).Join(ctx, forward)
}

// forwardedHeader marks a join request that was forwarded to the leader. It is not forwarded again.
const forwardedHeader = "Swiftbeam-Forwarded"

// Propose commits a command. It fails if this daemon is not the leader.
func (s *Server) Propose(ctx context.Context, r *connect.Request[peerpb.ProposeRequest]) (*connect.Response[peerpb.ProposeResponse], error) {
	index, result, err := s.Store.ProposeLocal(ctx, r.Msg.GetCommand())
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&peerpb.ProposeResponse{Index: index, Result: wire.EncodeResult(result)}), nil
}

// Gossip merges a gossip message from another daemon.
func (s *Server) Gossip(_ context.Context, r *connect.Request[peerpb.GossipRequest]) (*connect.Response[peerpb.GossipResponse], error) {
	s.Gossiper.ReceiveGossip(r.Msg)
	return connect.NewResponse(&peerpb.GossipResponse{}), nil
}

// Mirror stores copies of the accepted requests of another daemon.
func (s *Server) Mirror(_ context.Context, r *connect.Request[peerpb.MirrorRequest]) (*connect.Response[peerpb.MirrorResponse], error) {
	unknown := s.MirrorStore.Mirror(r.Msg.GetRequests())
	return connect.NewResponse(&peerpb.MirrorResponse{Unknown: unknown}), nil
}

// Fetch returns the stored tokens of a request.
func (s *Server) Fetch(ctx context.Context, r *connect.Request[peerpb.FetchRequest]) (*connect.Response[peerpb.FetchResponse], error) {
	return connect.NewResponse(s.MirrorStore.Fetch(ctx, r.Msg)), nil
}

// Report receives evidence on version moves or on crashes of servers.
func (s *Server) Report(_ context.Context, r *connect.Request[peerpb.ReportRequest]) (*connect.Response[peerpb.ReportResponse], error) {
	if r.Msg.GetCrashes() != nil {
		s.CrashCollector.Collect(r.Msg)
	} else {
		s.Collector.Collect(r.Msg)
	}
	return connect.NewResponse(&peerpb.ReportResponse{}), nil
}

func connectError(err error) error {
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.Exhausted:
		return connect.NewError(connect.CodeUnavailable, err)
	case fault.Invalid:
		return connect.NewError(connect.CodeInvalidArgument, err)
	case fault.Unknown:
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	return connect.NewError(connect.CodeInternal, err)
}
