package local

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// BenchmarkIdleTraffic measures the traffic between daemons while callers send no requests: the bytes per
// second on the connections that a daemon opens to its peers, as the mean of all daemons, for several
// numbers of daemons. Run it with -benchtime 1x.
func BenchmarkIdleTraffic(b *testing.B) {
	for _, daemons := range []int{3, 5, 7, 9} {
		b.Run(fmt.Sprint("daemons=", daemons), func(b *testing.B) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			d, err := Start(ctx, Options{Daemons: daemons, Voters: 3, Folder: b.TempDir()})
			if err != nil {
				b.Fatal(err)
			}
			defer d.Close()
			bytes := func() (sum int64) {
				for i := range daemons {
					sum += d.Daemon(i).Net.Bytes.Load()
				}
				return sum
			}
			const seconds = 4
			for b.Loop() {
				before := bytes()
				time.Sleep(seconds * time.Second)
				b.ReportMetric(float64(bytes()-before)/seconds/float64(daemons), "B/s/daemon")
			}
		})
	}
}
