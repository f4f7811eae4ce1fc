// Package demo runs a scenario end to end in one process: three daemons and fakes of the systems around
// them, reclaimed VMs, the crash of a daemon, and version moves to a healthy and to a regressed version.
// It counts outcomes as the callers and the fakes observe them.
//
//	report, err := demo.Run(ctx, demo.Options{Seed: 1})
//	if !report.Passed() {
//		// The run violated a guarantee.
//	}
package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"swiftbeam/internal/fakes"
	"swiftbeam/internal/local"
	"swiftbeam/pkg/admin"
)

// Options configure a run.
type Options struct {
	Seed uint64
	// Out receives a line for each event of the run; nil discards them.
	Out io.Writer
	Log logr.Logger
}

// Timeout is the time after which a run of the demo scenario is cancelled.
const Timeout = 55 * time.Second

// Time allowed for a version move, and notice periods of reclaims.
const (
	moveDuration  = 9 * time.Second
	reclaimNotice = 700 * time.Millisecond
	zoneNotice    = 1500 * time.Millisecond
)

// run is the state of one run.
type run struct {
	Options
	random         *rand.Rand
	deployment     *local.Deployment
	engines        []*fakes.Engine
	paymentServers []*fakes.PaymentServer
	runLog         *fakes.RunLog
	load           *load
	report         Report
	started        time.Time
}

// Run runs the scenario and reports what the callers and the fakes observed.
func Run(ctx context.Context, o Options) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	if o.Out == nil {
		o.Out = io.Discard
	}
	folder, err := os.MkdirTemp("", "swiftbeam-demo-")
	if err != nil {
		return Report{}, errors.Wrap(err, "create demo folder")
	}
	defer os.RemoveAll(folder)
	r := &run{
		Options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), runLog: &fakes.RunLog{}, started: time.Now(),
	}
	if err := r.start(ctx, folder); err != nil {
		return r.report, err
	}
	defer r.deployment.Close()
	err = r.runScenario(ctx)
	r.finish()
	return r.report, err
}

func (r *run) start(ctx context.Context, folder string) error {
	var err error
	r.deployment, err = local.Start(ctx, local.Options{Daemons: 3, Folder: folder, Log: r.Log})
	if err != nil {
		return err
	}
	r.printEvent("three daemons accept requests")
	for _, s := range []struct{ name, text string }{
		{"accounts", local.AccountsSection},
		{"commission-ledger", local.LedgerSection},
		{"luthier-model", local.ModelSection("v1", "")},
	} {
		if err := r.deployment.Put(ctx, s.name, s.text); err != nil {
			return err
		}
	}
	r.printEvent("the operators' document has three sections")
	if err := r.startServers(); err != nil {
		return err
	}
	return r.waitServers(ctx, "v1", 4)
}

func (r *run) startServers() error {
	for i := range 4 {
		if _, err := r.addEngine("v1", local.Zones[i], fakes.Fault{}); err != nil {
			return err
		}
	}
	for i := range 2 {
		l, err := r.deployment.StartPaymentServer(r.runLog, local.Zones[i])
		if err != nil {
			return err
		}
		r.paymentServers = append(r.paymentServers, l)
	}
	return nil
}

func (r *run) addEngine(version, zone string, fault fakes.Fault) (*fakes.Engine, error) {
	e, err := r.deployment.StartEngine(version, zone, func(e *fakes.Engine) { e.Fault = fault })
	r.engines = append(r.engines, e)
	return e, err
}

// waitServers waits until every running daemon lists at least count engines of the version, and at least
// two payment servers, as ready.
func (r *run) waitServers(ctx context.Context, version string, count int) error {
	return r.deployment.WaitUntil(ctx, "backend servers announced themselves", func() bool {
		for i := range r.deployment.Options.Daemons {
			instance := r.deployment.Daemon(i)
			if instance != nil && (instance.Roster.CountReady("luthier-model", version) < count || instance.Roster.CountReady("commission-ledger", "v1") < 2) {
				return false
			}
		}
		return true
	})
}

// runScenario runs the steps one after the other while callers send requests.
func (r *run) runScenario(ctx context.Context) error {
	r.load = startLoad(ctx, r.deployment, r.runLog, r.random.Uint64())
	defer r.load.stop()
	for _, step := range []func(context.Context) error{
		r.reclaimEngine, r.moveToHealthyVersion, r.crashDaemon, r.moveToRegressedVersion, r.reclaimZone,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// reclaimEngine reclaims the VM of one engine while callers send requests.
func (r *run) reclaimEngine(ctx context.Context) error {
	r.pause(ctx, 400, 800)
	r.reclaim(ctx, r.engines[0], reclaimNotice)
	r.printEvent("reclaim: an engine was taken back in mid-stream")
	return nil
}

func (r *run) reclaim(ctx context.Context, e *fakes.Engine, notice time.Duration) {
	r.deployment.Cloud.Reclaim(e.Address, notice)
	e.AnnounceReclaim(ctx, notice)
	r.report.Reclaims++
	select {
	case <-time.After(notice):
	case <-ctx.Done():
	}
	e.Kill()
}

func (r *run) moveToHealthyVersion(ctx context.Context) error {
	for i := range 4 {
		if _, err := r.addEngine("v2", local.Zones[i], fakes.Fault{}); err != nil {
			return err
		}
	}
	m, err := r.move(ctx, "v1", "v2")
	if err != nil {
		return err
	}
	event := "good version v2: " + m.Stage
	if m.Stage == "finished" {
		r.report.VersionMovesFinished++
	} else {
		event += ": " + m.Evidence
	}
	r.printEvent(event)
	return nil
}

// moveToRegressedVersion moves to a version that fails requests, is slow or ends streams early; the seed
// determines which.
func (r *run) moveToRegressedVersion(ctx context.Context) error {
	faults := []fakes.Fault{{FailPercent: 60}, {LatencyFactor: 6}, {Short: 40}}
	fault := faults[r.random.IntN(len(faults))]
	for i := range 4 {
		if _, err := r.addEngine("v3", local.Zones[i], fault); err != nil {
			return err
		}
	}
	m, err := r.move(ctx, "v2", "v3")
	if err != nil {
		return err
	}
	if m.Stage == "rolledBack" {
		r.report.VersionMovesRolledBack++
	}
	r.printEvent("bad version v3: " + m.Stage + ": " + m.Evidence)
	return nil
}

func (r *run) move(ctx context.Context, from, to string) (admin.Move, error) {
	finishBy := time.Now().Add(moveDuration).UTC().Format(time.RFC3339)
	move := fmt.Sprintf(`"move": {"to": %q, "finishBy": %q, "trialPercent": 20},`, to, finishBy)
	if err := r.deployment.Put(ctx, "luthier-model", local.ModelSection(from, move)); err != nil {
		return admin.Move{}, err
	}
	var last admin.Move
	err := r.deployment.WaitUntil(ctx, "move to "+to+" ends", func() bool {
		list, err := r.deployment.Operator().Moves(ctx)
		if err != nil || len(list.Moves) != 1 || list.Moves[0].To != to {
			return false
		}
		last = list.Moves[0]
		return last.Ended
	})
	return last, err
}

// crashDaemon kills one daemon under load and starts it again.
func (r *run) crashDaemon(ctx context.Context) error {
	i := r.random.IntN(r.deployment.Options.Daemons)
	r.deployment.Kill(i)
	r.printEvent(fmt.Sprintf("daemon entry-%d crashed", i+1))
	r.pause(ctx, 1500, 2500)
	if err := r.deployment.StartDaemon(i); err != nil {
		return err
	}
	if err := r.deployment.WaitReady(ctx); err != nil {
		return err
	}
	r.printEvent(fmt.Sprintf("daemon entry-%d is back", i+1))
	return nil
}

// reclaimZone reclaims the VMs of all engines in one availability zone at the same time.
func (r *run) reclaimZone(ctx context.Context) error {
	zone := local.Zones[r.random.IntN(len(local.Zones))]
	done := make(chan struct{})
	count := 0
	for _, e := range r.engines {
		if e.Zone != zone || e.Version != "v2" {
			continue
		}
		count++
		r.report.Reclaims++
		go func() {
			r.deployment.Cloud.Reclaim(e.Address, zoneNotice)
			e.AnnounceReclaim(ctx, zoneNotice)
			time.Sleep(zoneNotice)
			e.Kill()
			done <- struct{}{}
		}()
	}
	for range count {
		<-done
	}
	r.printEvent("reclaim: availability zone " + zone + " was taken back")
	r.pause(ctx, 500, 1000)
	return nil
}

// finish collects the counts of the callers and the fakes, and stops the fakes.
func (r *run) finish() {
	r.load.collect(&r.report)
	for _, text := range r.load.losses {
		r.printEvent("lost: " + text)
	}
	for _, e := range r.engines {
		r.report.TokensRecomputed += int(e.Recomputed.Load())
		e.Kill()
	}
	for _, l := range r.paymentServers {
		l.Kill()
	}
	r.report.Seconds = time.Since(r.started).Seconds()
}

func (r *run) pause(ctx context.Context, low, high int) {
	d := time.Duration(low+r.random.IntN(high-low)) * time.Millisecond
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (r *run) printEvent(text string) {
	_, _ = fmt.Fprintf(r.Out, "%6.2fs  %s\n", time.Since(r.started).Seconds(), text)
}
