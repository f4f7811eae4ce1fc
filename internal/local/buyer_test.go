package local

import (
	"testing"
	"time"

	"swiftbeam/internal/cloud"
	"swiftbeam/internal/fakes"
	"swiftbeam/internal/quorum"
)

const capacitySection = `{
	"kind": "capacity",
	"classes": [{"name": "std"}],
	"prices": [
		{"class": "std", "zone": "porto-a", "reclaimable": 500, "onDemand": 1800},
		{"class": "std", "zone": "porto-b", "reclaimable": 520, "onDemand": 1800},
		{"class": "std", "zone": "braga-a", "reclaimable": 900, "onDemand": 1800},
		{"class": "std", "zone": "guimaraes-a", "reclaimable": 900, "onDemand": 1800},
	],
	"floors": [{"service": "luthier-model", "replicas": 2}],
}`

// TestCapacityIsBoughtThroughFencedOrders checks that the leader orders the three replicas that keep the
// configured floor (minimum) of two after the loss of an availability zone, although the cheapest
// availability zone refuses to start VMs. It then kills the leader, and checks that the next leader does not
// order them again and that the fencing number rises with every order.
func TestCapacityIsBoughtThroughFencedOrders(t *testing.T) {
	ctx, d := startCluster(t, Options{Daemons: 3})
	d.Cloud.SetRefuseStarts("porto-a", true)
	d.Cloud.OnStart(func(o cloud.StartOrder) {
		for range o.Count {
			if _, err := d.StartEngine(o.Version, o.Zone, func(e *fakes.Engine) { e.Service = o.Service }); err != nil {
				t.Error(err)
			}
		}
	})
	if err := d.Put(ctx, "capacity", capacitySection); err != nil {
		t.Fatal(err)
	}
	waitUntil(ctx, t, d, "the floor survives the loss of a zone", func() bool { return readyEverywhere(d, "luthier-model", 3) })
	counts, _ := d.Cloud.OrderCounts()
	if counts["porto-a"] != 0 || counts["porto-b"] != 1 || counts["braga-a"] != 1 || counts["guimaraes-a"] != 1 {
		t.Errorf("got orders %v, want 1 in each availability zone except porto-a", counts)
	}
	for i := range 3 {
		if d.Daemon(i).Store.Status().Role == quorum.Leader {
			d.Kill(i)
			break
		}
	}
	time.Sleep(6 * time.Second) // time for three decisions of the next leader
	counts, staleFences := d.Cloud.OrderCounts()
	if got := counts["porto-b"] + counts["braga-a"] + counts["guimaraes-a"]; got != 3 {
		t.Errorf("got %d replicas ordered after the leader was killed, want 3", got)
	}
	if staleFences != 0 {
		t.Errorf("got %d orders whose fencing number did not rise, want 0", staleFences)
	}
}
