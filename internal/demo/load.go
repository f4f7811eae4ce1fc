package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"swiftbeam/internal/fakes"
	"swiftbeam/internal/local"
	"swiftbeam/pkg/caller"
)

// Report contains the outcomes that the callers and the fakes observed.
type Report struct {
	Accepted               int
	Answered               int
	Lost                   int
	Duplicated             int
	RefusedNotRun          int
	Reclaims               int
	VersionMovesFinished   int
	VersionMovesRolledBack int
	TokensRecomputed       int
	// FalseNotRun counts deposits that were executed although the refusal reported that they were not.
	FalseNotRun int
	// CutShort counts streams that an engine ended early but marked as complete, as the regressed version
	// may. No daemon can detect this.
	CutShort int
	// Unknown counts deposits whose response was "outcome unknown" (status 502), as after a crash of their
	// daemon. They do not count as accepted; one that ran more than once also counts in Duplicated.
	Unknown int
	Seconds float64
}

// Passed reports whether every guarantee was satisfied, and whether the run included reclaims, one finished
// version move and one that was rolled back.
func (r Report) Passed() bool {
	return r.Accepted > 0 && r.Answered == r.Accepted && r.Lost == 0 && r.Duplicated == 0 && r.FalseNotRun == 0 &&
		r.Reclaims > 0 && r.VersionMovesFinished == 1 && r.VersionMovesRolledBack == 1
}

// String returns the report as human-readable text.
func (r Report) String() string {
	result := "every guarantee held"
	if !r.Passed() {
		result = "A GUARANTEE WAS BROKEN"
	}
	return fmt.Sprintf(`
accepted requests          %6d
answered whole             %6d
lost                       %6d
run more than once         %6d
cut short by a bad version %6d
refused, not run           %6d
refused, but run           %6d
outcome unknown            %6d
reclaims                   %6d
versions finished          %6d
versions rolled back       %6d
tokens recomputed          %6d
%s in %.1f s
`, r.Accepted, r.Answered, r.Lost, r.Duplicated, r.CutShort, r.RefusedNotRun, r.FalseNotRun, r.Unknown, r.Reclaims,
		r.VersionMovesFinished, r.VersionMovesRolledBack, r.TokensRecomputed, result, r.Seconds)
}

// reportJSON is the JSON format of a Report, for scripts.
type reportJSON struct {
	Accepted               int `json:"accepted"`
	Answered               int `json:"answered"`
	Lost                   int `json:"lost"`
	Duplicated             int `json:"duplicated"`
	RefusedNotRun          int `json:"refusedNotRun"`
	Reclaims               int `json:"reclaims"`
	VersionMovesFinished   int `json:"versionMovesFinished"`
	VersionMovesRolledBack int `json:"versionMovesRolledBack"`
	TokensRecomputed       int `json:"tokensRecomputed"`
	FalseNotRun            int `json:"falseNotRun"`
	CutShort               int `json:"cutShort"`
	Unknown                int `json:"unknown"`
}

// JSON returns the report as one JSON object.
func (r Report) JSON() string {
	data, _ := json.Marshal(reportJSON{
		Accepted: r.Accepted, Answered: r.Answered, Lost: r.Lost, Duplicated: r.Duplicated,
		RefusedNotRun: r.RefusedNotRun, Reclaims: r.Reclaims, VersionMovesFinished: r.VersionMovesFinished,
		VersionMovesRolledBack: r.VersionMovesRolledBack, TokensRecomputed: r.TokensRecomputed, FalseNotRun: r.FalseNotRun, CutShort: r.CutShort, Unknown: r.Unknown,
	})
	return string(data)
}

// Numbers of concurrent callers, and the share of long streams.
const (
	streamers  = 24
	depositors = 3
	// One in longStreamInterval streams of each caller is long, beginning with the first.
	longStreamInterval = 8
)

// load runs the callers of a run and counts the outcomes of their requests.
type load struct {
	deployment *local.Deployment
	runLog     *fakes.RunLog
	cancel     context.CancelFunc
	wait       sync.WaitGroup

	mu       sync.Mutex
	report   Report
	deposits []deposit
	// losses describes the accepted requests that got no answer, up to maxLosses.
	losses []string
}

// maxLosses is the number of lost requests that a run describes.
const maxLosses = 20

// addLoss counts a lost request. Its caller holds l.mu.
func (l *load) addLoss(format string, args ...any) {
	l.report.Lost++
	if len(l.losses) < maxLosses {
		l.losses = append(l.losses, time.Now().UTC().Format(time.RFC3339Nano)+" "+fmt.Sprintf(format, args...))
	}
}

// deposit is a deposit that a caller sent. notRun is set if it was refused and the refusal reported that it
// was not executed.
type deposit struct {
	key    string
	notRun bool
}

func startLoad(ctx context.Context, d *local.Deployment, runLog *fakes.RunLog, seed uint64) *load {
	sendCtx, cancel := context.WithCancel(ctx)
	l := &load{deployment: d, runLog: runLog, cancel: cancel}
	for i := range streamers {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		l.wait.Go(func() { l.sendStreams(ctx, sendCtx, random) })
	}
	for i := range depositors {
		random := rand.New(rand.NewPCG(seed, uint64(1000+i)))
		l.wait.Go(func() { l.sendDeposits(ctx, sendCtx, random) })
	}
	return l
}

// stop stops the callers from sending further requests, and waits until their current ones have ended.
func (l *load) stop() {
	l.cancel()
	l.wait.Wait()
}

func (l *load) sendStreams(ctx, sendCtx context.Context, random *rand.Rand) {
	for i := 0; sendCtx.Err() == nil; i++ {
		tokens := 8 + random.IntN(16)
		model := "luthier-model:quick"
		if i%longStreamInterval == 0 {
			tokens, model = 200+random.IntN(200), "luthier-model:dossier"
		}
		prompt := fmt.Sprintf("%s letter %d", strings.Repeat("spruce from Fiemme ", 30), random.Uint64())
		answer, err := l.deployment.Caller().Stream(ctx, caller.Prompt{Model: model, Prompt: prompt, MaxTokens: tokens}, nil)
		l.countStream(answer, err, fakes.Answer(prompt, tokens))
		time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
	}
}

// countStream counts the outcome of a stream by comparing its text with want. A stream that the engine
// ended early but marked as complete counts both as answered and in CutShort.
func (l *load) countStream(answer caller.Answer, err error, want string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var refusal *caller.Refusal
	switch {
	case answer.RequestID == "" && errors.As(err, &refusal) && refusal.NotRun:
		l.report.RefusedNotRun++
		return
	case answer.RequestID == "" && err != nil:
		return
	}
	l.report.Accepted++
	ordered := err == nil && answer.OutOfOrder == 0
	switch {
	case ordered && answer.Text == want:
		l.report.Answered++
	case ordered && answer.Finish == "stop" && answer.Text != "" && strings.HasPrefix(want, answer.Text):
		l.report.Answered++
		l.report.CutShort++
	default:
		l.addLoss("stream %s: error %v, finish reason %q, %d tokens, %d of %d bytes as expected, %d resumes, %d events out of order",
			answer.RequestID, err, answer.Finish, answer.Tokens, commonPrefix(answer.Text, want), len(want), answer.Resumes, answer.OutOfOrder)
	}
}

// commonPrefix returns the number of leading bytes that both texts have in common.
func commonPrefix(a, b string) int {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return n
}

func (l *load) sendDeposits(ctx, sendCtx context.Context, random *rand.Rand) {
	for sendCtx.Err() == nil {
		key := fmt.Sprintf("deposit-%016x", random.Uint64())
		_, err := l.deployment.Caller().Call(ctx, "/deposits", key, []byte(`{"billet":"A-17","cents":25000}`))
		l.countDeposit(key, err)
		time.Sleep(time.Duration(20+random.IntN(30)) * time.Millisecond)
	}
}

func (l *load) countDeposit(key string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var refusal *caller.Refusal
	notRun := errors.As(err, &refusal) && refusal.NotRun
	l.deposits = append(l.deposits, deposit{key: "oficina/deposits/" + key, notRun: notRun})
	switch {
	case err == nil:
		l.report.Accepted++
		l.report.Answered++
	case notRun:
		l.report.RefusedNotRun++
	case errors.As(err, &refusal) && refusal.Status == http.StatusBadGateway:
		l.report.Unknown++
	default:
		l.report.Accepted++
		l.addLoss("deposit %s: error %v", key, err)
	}
}

// collect copies the counts to r, and compares each deposit with the executions in the run log.
func (l *load) collect(r *Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Accepted, r.Answered, r.Lost = l.report.Accepted, l.report.Answered, l.report.Lost
	r.RefusedNotRun, r.CutShort, r.Unknown = l.report.RefusedNotRun, l.report.CutShort, l.report.Unknown
	for _, d := range l.deposits {
		runs := l.runLog.Runs(d.key)
		if runs > 1 {
			r.Duplicated++
		}
		if d.notRun && runs > 0 {
			r.FalseNotRun++
		}
	}
}
