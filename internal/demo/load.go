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

// Report counts what callers and stand-ins saw.
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
	// FalseNotRun counts refusals that said "not run" of calls that were run.
	FalseNotRun int
	// CutShort counts complete answers that the bad version ended early; no daemon can tell.
	CutShort int
	// Unknown counts deposits that were answered "outcome unknown" after a crash of their daemon;
	// they were not accepted, and ran at most once.
	Unknown int
	Seconds float64
}

// Passed reports whether the run kept every guarantee.
func (r Report) Passed() bool {
	return r.Accepted > 0 && r.Answered == r.Accepted && r.Lost == 0 && r.Duplicated == 0 && r.FalseNotRun == 0 &&
		r.Reclaims > 0 && r.VersionMovesFinished == 1 && r.VersionMovesRolledBack == 1
}

// String returns the summary for a person.
func (r Report) String() string {
	verdict := "every guarantee held"
	if !r.Passed() {
		verdict = "A GUARANTEE WAS BROKEN"
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
		r.VersionMovesFinished, r.VersionMovesRolledBack, r.TokensRecomputed, verdict, r.Seconds)
}

// reportJSON is the form of a Report for scripts.
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

// Size of the load.
const (
	streamers  = 24
	depositors = 3
	// longEvery is one in how many streams is a long one.
	longEvery = 8
)

// load is the callers of a demo.
type load struct {
	deployment *local.Deployment
	book       *fakes.RunLog
	cancel     context.CancelFunc
	wait       sync.WaitGroup

	mu     sync.Mutex
	report Report
	keys   []deposit
}

// deposit is one deposit and how its caller's last attempt ended.
type deposit struct {
	key    string
	notRun bool
}

func startLoad(ctx context.Context, d *local.Deployment, book *fakes.RunLog, seed uint64) *load {
	until, cancel := context.WithCancel(ctx)
	l := &load{deployment: d, book: book, cancel: cancel}
	for i := range streamers {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		l.wait.Go(func() { l.stream(ctx, until, random) })
	}
	for i := range depositors {
		random := rand.New(rand.NewPCG(seed, uint64(1000+i)))
		l.wait.Go(func() { l.deposits(ctx, until, random) })
	}
	return l
}

// stop lets each caller finish its present request.
func (l *load) stop() {
	l.cancel()
	l.wait.Wait()
}

func (l *load) stream(ctx, until context.Context, random *rand.Rand) {
	for i := 0; until.Err() == nil; i++ {
		tokens := 8 + random.IntN(16)
		model := "luthier-model:quick"
		if i%longEvery == 0 {
			tokens, model = 200+random.IntN(200), "luthier-model:dossier"
		}
		prompt := fmt.Sprintf("%s letter %d", strings.Repeat("spruce from Fiemme ", 30), random.Uint64())
		answer, err := l.deployment.Caller().Stream(ctx, caller.Prompt{Model: model, Prompt: prompt, MaxTokens: tokens}, nil)
		l.judge(answer, err, fakes.Answer(prompt, tokens))
		time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
	}
}

// judge counts a stream by its text. Answers that the engine itself ended early are counted
// apart.
func (l *load) judge(answer caller.Answer, err error, want string) {
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
		l.report.Lost++
	}
}

func (l *load) deposits(ctx, until context.Context, random *rand.Rand) {
	for until.Err() == nil {
		key := fmt.Sprintf("deposit-%016x", random.Uint64())
		_, err := l.deployment.Caller().Call(ctx, "/deposits", key, []byte(`{"billet":"A-17","cents":25000}`))
		l.judgeDeposit(key, err)
		time.Sleep(time.Duration(20+random.IntN(30)) * time.Millisecond)
	}
}

func (l *load) judgeDeposit(key string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var refusal *caller.Refusal
	notRun := errors.As(err, &refusal) && refusal.NotRun
	l.keys = append(l.keys, deposit{key: "oficina/deposits/" + key, notRun: notRun})
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
		l.report.Lost++
	}
}

// collect adds the counts of the load and what the ledger's book says about each deposit.
func (l *load) collect(r *Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Accepted, r.Answered, r.Lost = l.report.Accepted, l.report.Answered, l.report.Lost
	r.RefusedNotRun, r.CutShort, r.Unknown = l.report.RefusedNotRun, l.report.CutShort, l.report.Unknown
	for _, d := range l.keys {
		runs := l.book.Runs(d.key)
		if runs > 1 {
			r.Duplicated++
		}
		if d.notRun && runs > 0 {
			r.FalseNotRun++
		}
	}
}
