package main

import (
	"bytes"
	"context"
	"net"
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
	"swiftbeam/internal/logbuf"
	"swiftbeam/internal/meter"
	"swiftbeam/internal/setup"
	"swiftbeam/pkg/clock"
	"swiftbeam/platform"
)

const (
	// reloadEvery is how often a changed settings file is looked for.
	reloadEvery = 2 * time.Second
	// collectPercent trades processor time for memory; daemons keep little and allocate much.
	collectPercent = 25
	// memoryPercent is the part of the VM's memory at which collections become more frequent.
	memoryPercent = 80
)

// node is a process of a split deployment.
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
	return s, mistakes(path, problems)
}

// runNode serves until the first SIGTERM, then stops as planned. A second one ends the process.
func runNode(ctx context.Context, s *setup.Node, path string) error {
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(s.MemoryBytes * memoryPercent / 100)
	if s.Processors > 0 {
		// Idle processors of the runtime look for work, which costs processor time where the VM has
		// a part of one core.
		runtime.GOMAXPROCS(s.Processors)
	}
	lines := logbuf.New(os.Stdout)
	writing, stopWriting := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		lines.Run(writing)
		close(written)
	}()
	defer func() {
		stopWriting()
		<-written
	}()
	log := newLogger(lines).WithValues("daemon", s.Name)
	log.Info("starting", "role", s.Role.String(), "zone", s.Zone, "seeds", s.Seeds, "found", s.Found, "go", runtime.Version())
	registry := metrics.NewRegistry()
	meter.RegisterGauge(registry, "log.linesDropped", lines.Dropped.Load)
	n, err := startNode(ctx, s, log, registry)
	if err != nil {
		log.Error(err, "not started")
		return err
	}
	showMetrics(s.Metrics, registry, log)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	awaitStop(signals, path, n, log)
	go func() {
		for sig := range signals {
			if sig != syscall.SIGHUP {
				os.Exit(exitFailed)
			}
		}
	}()
	log.Info("stopping")
	stop, cancel := context.WithTimeout(ctx, s.StopTimeout.Std()*19/20)
	defer cancel()
	err = n.Stop(stop)
	if err != nil {
		log.Info("stopped late", "error", err.Error())
	} else {
		log.Info("stopped")
	}
	return nil
}

// awaitStop reloads the settings when they change and returns at a signal to stop.
func awaitStop(signals <-chan os.Signal, path string, n node, log logr.Logger) {
	last, err := os.ReadFile(path)
	if err != nil {
		log.Error(err, "settings cannot be read")
	}
	ticker := time.NewTicker(reloadEvery)
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

// showMetrics serves the metrics. The daemon goes on without them where that fails.
func showMetrics(address string, registry metrics.Registry, log logr.Logger) {
	if address == "" {
		return
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		log.Error(err, "metrics are not shown", "address", address)
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", meter.Handler(registry))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
}

func startNode(ctx context.Context, s *setup.Node, log logr.Logger, registry metrics.Registry) (node, error) {
	c := clock.Start()
	if s.Role == setup.Entry {
		e := edge.New(s, edge.Options{Log: log, Clock: c, Dialect: platform.Callers{}, Decode: platform.DecodeRules, Metrics: registry})
		return e, e.Start(ctx)
	}
	options := core.Options{Log: log, Clock: c, Decode: platform.DecodeRules, Metrics: registry}
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
