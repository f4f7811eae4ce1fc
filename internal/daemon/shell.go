package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"swiftbeam/internal/drain"
	"swiftbeam/internal/fault"
	"swiftbeam/internal/setup"
)

// serverTLS loads the certificate files. Clients need no certificate, but one that is presented must be
// signed by the client CA.
func serverTLS(files *setup.TLS) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, errors.Wrap(err, "load TLS certificate")
	}
	config := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}
	if files.ClientCA == "" {
		return config, nil
	}
	pem, err := os.ReadFile(files.ClientCA)
	if err != nil {
		return nil, errors.Wrap(err, "read client CA")
	}
	config.ClientCAs = x509.NewCertPool()
	if !config.ClientCAs.AppendCertsFromPEM(pem) {
		return nil, fault.New(fault.Invalid, "%s contains no certificate", files.ClientCA).Remedy("write a PEM file")
	}
	config.ClientAuth = tls.VerifyClientCertIfGiven
	return config, nil
}

// clientTLS returns the configuration for calls to other daemons. Their certificates are verified
// against the client CA.
func (d *Daemon) clientTLS() *tls.Config {
	if d.tls == nil {
		return nil
	}
	return &tls.Config{RootCAs: d.tls.ClientCAs, Certificates: d.tls.Certificates, MinVersion: tls.VersionTLS12}
}

// registerMetrics registers the values that /metrics shows.
func (d *Daemon) registerMetrics() {
	counters := map[string]*atomic.Int64{
		"peers.bytes":      &d.Net.Bytes,
		"entry.accepted":   &d.Entry.Stats.Accepted,
		"entry.refused":    &d.Entry.Stats.Refused,
		"entry.resumed":    &d.Entry.Stats.Resumed,
		"relay.resumed":    &d.Relay.Stats.Resumed,
		"relay.stalled":    &d.Relay.Stats.Stalled,
		"relay.takenOver":  &d.Relay.Stats.TakenOver,
		"relay.abandoned":  &d.Relay.Stats.Abandoned,
		"relay.finished":   &d.Relay.Stats.Drained[drain.Finish],
		"relay.exported":   &d.Relay.Stats.Drained[drain.Export],
		"relay.recomputed": &d.Relay.Stats.Drained[drain.Recompute],
		"once.answered":    &d.Once.Stats.Answered,
		"once.replayed":    &d.Once.Stats.Replayed,
		"once.notRun":      &d.Once.Stats.NotRun,
		"once.unsure":      &d.Once.Stats.Unsure,
		"once.settled":     &d.Once.Stats.Settled,
	}
	for name, c := range counters {
		_ = d.Metrics.Register(name, metrics.NewFunctionalGauge(c.Load))
	}
	d.limits.Register(d.Metrics)
	_ = d.Metrics.Register("relay.running", metrics.NewFunctionalGauge(func() int64 { return int64(d.Relay.Running()) }))
	_ = d.Metrics.Register("roster.serversRejected", metrics.NewFunctionalGauge(d.Roster.Rejected))
	_ = d.Metrics.Register("store.applied", metrics.NewFunctionalGauge(func() int64 { return int64(d.Store.Status().Applied) }))
	_ = d.Metrics.Register("store.term", metrics.NewFunctionalGauge(func() int64 { return int64(d.Store.Status().Term) }))
	_ = d.Metrics.Register("daemon.accepts", metrics.NewFunctionalGauge(func() int64 {
		if d.LeaseStatus().Accepts() {
			return 1
		}
		return 0
	}))
}
