package main

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/spf13/cobra"

	"swiftbeam/internal/core"
	"swiftbeam/internal/duty"
	"swiftbeam/internal/edge"
	"swiftbeam/internal/intake"
	"swiftbeam/internal/logbuf"
	"swiftbeam/internal/meter"
	"swiftbeam/internal/setup"
	"swiftbeam/pkg/clock"
	"swiftbeam/platform"
)

const (
	// reloadInterval is how often the settings file is checked for changes.
	reloadInterval = 2 * time.Second
	// gcPercent is below the default of 100 to save memory at the cost of processor time: daemons
	// retain little memory and allocate much.
	gcPercent = 25
	// memoryPercent is the share of the memory limit in the settings above which the garbage collector
	// runs more often.
	memoryPercent = 80
	// outsideBytes is memory that the runtime does not count: the program itself, and bytes that have arrived and were
	// not read.
	outsideBytes = 32 << 20
)

// node is an entry or core daemon.
type node interface {
	SetSeeds(seeds []string)
	Stop(ctx context.Context) error
}

func nodeCommand(role setup.Role, use, short string) *cobra.Command {
	var path string
	c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		s, err := loadNode(path)
		if err != nil {
			return err
		}
		if s.Role != role {
			return invalidInput{errors.Newf("%s is for the role %v; start that one", path, s.Role)}
		}
		return runNode(c.Context(), s, path)
	}}
	c.Flags().StringVar(&path, "settings", "", "settings file")
	_ = c.MarkFlagRequired("settings")
	return c
}

func loadNode(path string) (*setup.Node, error) {
	s, problems, err := setup.LoadNode(path)
	if err != nil {
		return nil, invalidInput{errors.Wrap(err, "read settings")}
	}
	return s, reportProblems(path, problems)
}

// runtimeBytes returns the memory of a process above which the garbage collector runs more often.
func runtimeBytes(memoryBytes int64) int64 {
	return max(min(memoryBytes*memoryPercent/100, memoryBytes-outsideBytes), memoryBytes/2)
}

// limitRuntime makes the garbage collector keep the process within its memory.
func limitRuntime(memoryBytes int64) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(runtimeBytes(memoryBytes))
}

// runNode runs an entry or core daemon until the first SIGTERM or interrupt, and then stops it gracefully.
// At a second signal it ends all requests at once and exits with a failure, at a third it exits.
func runNode(ctx context.Context, s *setup.Node, path string) error {
	limitRuntime(s.MemoryBytes)
	if s.Processors > 0 {
		// The Go scheduler's idle processors spin while they look for work, which is expensive where the
		// VM has only a fraction of a core.
		runtime.GOMAXPROCS(s.Processors)
	}
	logs := logbuf.New(os.Stdout)
	logCtx, stopLog := context.WithCancel(context.Background())
	logDone := make(chan struct{})
	go func() {
		logs.Run(logCtx)
		close(logDone)
	}()
	defer func() {
		stopLog()
		<-logDone
	}()
	log := newLogger(logs).WithValues("daemon", s.Name)
	// From before the listeners open, as a signal without a handler ends the process at once.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	log.Info("starting", "role", s.Role.String(), "zone", s.Zone, "seeds", s.Seeds, "found", s.Found, "go", runtime.Version())
	registry := metrics.NewRegistry()
	meter.RegisterGauge(registry, "log.linesDropped", logs.Dropped.Load)
	limits := intake.FromMachine(s.MemoryBytes)
	limits.SetRunning(s.RunningRequests)
	limits.Log = log
	limits.Register(registry)
	n, err := startNode(ctx, s, log, registry, limits)
	if err != nil {
		log.Error(err, "start failed")
		return err
	}
	serveMetrics(s.Metrics, registry, limits, log)
	awaitStop(signals, path, n, log)
	log.Info("stopping")
	stop, cancel := context.WithTimeout(ctx, s.StopTimeout.Std()*19/20)
	defer cancel()
	go hasten(signals, cancel)
	err = n.Stop(stop)
	if errors.Is(stop.Err(), context.Canceled) {
		log.Info("stopped by a second signal")
		return errSecondSignal
	}
	if err != nil {
		log.Info("graceful stop incomplete", "error", err.Error())
	} else {
		log.Info("stopped")
	}
	return nil
}

var errSecondSignal = errors.New("stopped by a second signal before all requests had ended")

// hasten calls stopNow at the next signal that ends the process, and exits at the one after it.
func hasten(signals <-chan os.Signal, stopNow func()) {
	hastened := false
	for sig := range signals {
		switch {
		case sig == syscall.SIGHUP:
		case hastened:
			os.Exit(exitFailed)
		default:
			hastened = true
			stopNow()
		}
	}
}

// awaitStop reloads the seeds when the settings file has changed, and returns at SIGTERM or an interrupt.
// SIGHUP checks the file at once.
func awaitStop(signals <-chan os.Signal, path string, n node, log logr.Logger) {
	last, err := os.ReadFile(path)
	if err != nil {
		log.Error(err, "cannot read settings")
	}
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return
			}
		case <-ticker.C:
		}
		text, err := os.ReadFile(path)
		if err != nil || bytes.Equal(text, last) {
			continue
		}
		last = text
		s, problems := setup.ParseNode(text)
		if len(problems) > 0 {
			log.Info("changed settings rejected", "mistakes", len(problems), "first", problems[0].String())
			continue
		}
		n.SetSeeds(s.Seeds)
		log.Info("settings reloaded", "seeds", s.Seeds)
	}
}

// serveMetrics serves the metrics endpoint. If it cannot listen, the daemon runs without it.
func serveMetrics(address string, registry metrics.Registry, limits *intake.Limits, log logr.Logger) {
	if address == "" {
		return
	}
	l, err := limits.Listen("tcp", address)
	if err != nil {
		log.Error(err, "cannot serve metrics", "address", address)
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", meter.Handler(registry))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, ReadTimeout: time.Second, MaxHeaderBytes: intake.ProbeHeadBytes}
	limits.Track(server)
	go func() { _ = server.Serve(l) }()
}

func startNode(ctx context.Context, s *setup.Node, log logr.Logger, registry metrics.Registry, limits *intake.Limits) (node, error) {
	c := clock.Start()
	if s.Role == setup.Entry {
		e := edge.New(s, edge.Options{Log: log, Clock: c, Dialect: platform.CallerDialect{}, Decode: platform.DecodeRules, Metrics: registry, Limits: limits})
		return e, e.Start(ctx)
	}
	options := core.Options{Log: log, Clock: c, Decode: platform.DecodeRules, Metrics: registry, Limits: limits}
	if s.Duties.Address != "" {
		options.Cloud = &platform.Cloud{Address: s.Duties.Address, HTTP: duty.NewClient()}
	}
	n, err := core.New(s, options)
	if err != nil {
		return nil, err
	}
	if err := n.Serve(platform.Control(n)); err != nil {
		return nil, err
	}
	return n, n.Start(ctx)
}
