package roster_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/edit"
	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/store"
	"clementinehead.example/chead/wire"
)

// measureStart starts all daemons within two seconds and measures until they
// know each other.
func (c *cluster) measureStart(r *report) {
	began := time.Now()
	c.startAll(r.daemons, r.domains)
	for !c.allKnown() {
		time.Sleep(100 * time.Millisecond)
	}
	r.add("all started at once: until everybody knows everybody", "%v", time.Since(began).Round(time.Millisecond))
	counts := c.store.Counts()
	r.add("store calls of that: reads, writes, watches", "%d, %d, %d", counts.Reads, counts.Writes, counts.Watches)
	time.Sleep(settleTime)
}

func (c *cluster) allKnown() bool {
	for _, n := range c.nodes {
		if len(n.roster.Daemons()) < len(c.nodes) {
			return false
		}
	}
	return true
}

// measureIdle measures while nothing changes.
func (c *cluster) measureIdle(r *report) {
	c.resetBytes()
	before, cpu := c.store.Counts(), processorTime()
	var ages []time.Duration
	for range int(measureTime / time.Second) {
		time.Sleep(time.Second)
		for _, n := range c.nodes {
			ages = append(ages, time.Since(n.relay.VerifiedAt()))
		}
	}
	cpu = processorTime() - cpu
	after := c.store.Counts()
	sum, busiest, calls := c.totals()
	seconds, daemons := measureTime.Seconds(), float64(r.daemons)
	r.idle = sum / daemons / seconds
	r.add("bytes/s a daemon, sent and received, idle: mean, busiest", "%.0f, %.0f", r.idle, busiest/seconds)
	r.add("calls/s to peers a daemon, idle", "%.2f", calls/daemons/seconds)
	r.add("processor time a daemon and second, idle, without transport", "%v", cpu/time.Duration(daemons*seconds))
	r.add("heap a daemon, test included", "%d KiB", heap()/uint64(r.daemons)>>10)
	r.add("store calls/s of all daemons, idle: reads, writes, watches", "%.2f, %.2f, %.2f",
		float64(after.Reads-before.Reads)/seconds,
		float64(after.Writes-before.Writes)/seconds,
		float64(after.Watches-before.Watches)/seconds)
	median, longest := medianAndMax(ages)
	r.add("age of the documents' verification: median, max", "%v, %v", median, longest)
}

func (c *cluster) resetBytes() {
	for _, n := range c.nodes {
		n.bytes.Store(0)
		n.calls.Store(0)
	}
}

// totals returns the sum and the maximum of the daemons' bytes, and the sum of
// their calls.
func (c *cluster) totals() (sum, busiest, calls float64) {
	for _, n := range c.nodes {
		sum += float64(n.bytes.Load())
		busiest = max(busiest, float64(n.bytes.Load()))
		calls += float64(n.calls.Load())
	}
	return sum, busiest, calls
}

// processorTime returns the processor time used by this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// measureEdits writes the configuration as an accepting daemon does, waits until
// all daemons have it in force, and returns the longest time.
func (c *cluster) measureEdits(r *report, what string) time.Duration {
	var times []time.Duration
	c.resetBytes()
	began := time.Now()
	for range editCount {
		at := c.randomNode()
		entry := c.write(at)
		start := time.Now()
		at.relay.Apply(entry)
		for !c.allApplied(entry.Revision) && time.Since(start) < time.Minute {
			time.Sleep(20 * time.Millisecond)
		}
		times = append(times, time.Since(start))
		time.Sleep(5 * time.Second)
	}
	sum, _, _ := c.totals()
	aboveIdle := sum/float64(r.daemons) - r.idle*time.Since(began).Seconds()
	median, longest := medianAndMax(times)
	r.add(what, "%v, %v", median, longest)
	r.add("bytes a daemon and edit above idle", "%.0f", aboveIdle/editCount)
	return longest
}

// measureFabricWrites writes the values of fabric domains for ten seconds, as
// keepers do when a failure domain is lost, and returns the calls per second to
// the store.
func (c *cluster) measureFabricWrites(r *report) float64 {
	const duration, writeInterval = 10 * time.Second, 50 * time.Millisecond
	const fabrics, value = 30, 6 << 10 // bytes
	c.resetBytes()
	before := c.storeCalls()
	start := time.Now()
	for i := 0; time.Since(start) < duration; i++ {
		at := c.randomNode()
		at.relay.Apply(c.writeFabric(at, fmt.Sprintf("f%02d", i%fabrics), value))
		time.Sleep(writeInterval)
	}
	calls := float64(c.storeCalls()-before) / duration.Seconds()
	sum, _, _ := c.totals()
	r.add("20 revisions/s of fabric domains for 10 s: store calls/s", "%.0f", calls)
	r.add("bytes/s a daemon meanwhile", "%.0f", sum/float64(r.daemons)/duration.Seconds())
	writesEnd := time.Now()
	for !c.allEqual() && time.Since(writesEnd) < time.Minute {
		time.Sleep(100 * time.Millisecond)
	}
	r.add("after it, until all hold the same", "%v", time.Since(writesEnd).Round(time.Millisecond))
	return calls
}

func (c *cluster) writeFabric(at *node, name string, size int) store.Entry {
	client := store.New("http://store", at.do)
	key := fleet.Key(name)
	current, err := client.Get(c.t.Context(), key)
	if err != nil {
		current = store.Entry{} // there is none yet
	}
	value, err := json.Marshal(fleet.Fabric{Name: name, Cause: strings.Repeat("x", size)})
	if err != nil {
		c.t.Fatal(err)
	}
	revision, err := client.Put(c.t.Context(), store.Put{Key: key, Value: value, Prev: current.Revision})
	if err != nil {
		c.t.Fatal(err)
	}
	return store.Entry{Key: key, Value: value, Revision: revision}
}

func (c *cluster) allEqual() bool {
	hashes := map[uint64]bool{}
	for _, n := range c.nodes {
		hashes[n.relay.Digest().Hash] = true
	}
	return len(hashes) == 1
}

// randomNode returns a random live daemon.
func (c *cluster) randomNode() *node {
	var live []string
	for address, n := range c.nodes {
		if !n.dead.Load() {
			live = append(live, address)
		}
	}
	slices.Sort(live)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[live[c.random.IntN(len(live))]]
}

// write stores a new configuration.
func (c *cluster) write(at *node) store.Entry {
	client := store.New("http://store", at.do)
	current, err := client.Get(c.t.Context(), fleet.ConfKey)
	if err != nil {
		current = store.Entry{} // there is none yet
	}
	c.serial++
	value, err := json.Marshal(edit.Envelope{Serial: c.serial, Document: conf.Document{Domains: map[string]conf.Domain{
		"north": {Region: strings.Repeat("x", configSize)},
	}}})
	if err != nil {
		c.t.Fatal(err)
	}
	revision, err := client.Put(c.t.Context(), store.Put{Key: fleet.ConfKey, Value: value, Prev: current.Revision})
	if err != nil {
		c.t.Fatal(err)
	}
	return store.Entry{Key: fleet.ConfKey, Value: value, Revision: revision}
}

func (c *cluster) allApplied(revision uint64) bool {
	for _, n := range c.nodes {
		if !n.dead.Load() && n.relay.View().Revision < revision {
			return false
		}
	}
	return true
}

// measureLoss counts how often daemons suspect live ones while 1% of the calls
// are lost, and returns how often one recorded a live daemon as dead.
func (c *cluster) measureLoss(r *report) int {
	suspected := c.counterSum("chead_roster_beats_total", "suspected")
	dead := c.counterSum("chead_roster_changes_total", "dead")
	c.setLoss(0.01)
	time.Sleep(measureTime)
	c.setLoss(0)
	time.Sleep(settleTime)
	suspected = c.counterSum("chead_roster_beats_total", "suspected") - suspected
	dead = c.counterSum("chead_roster_changes_total", "dead") - dead
	r.add("1% of calls lost for a minute: false suspicions, false deaths", "%d, %d", suspected, dead)
	return dead
}

// counterSum sums a counter with a label value over all daemons.
func (c *cluster) counterSum(name, label string) int {
	sum := 0.0
	for _, n := range c.nodes {
		families, err := n.registry.Gather()
		if err != nil {
			c.t.Fatal(err)
		}
		for _, family := range families {
			for _, metric := range family.GetMetric() {
				if family.GetName() == name && metric.GetLabel()[0].GetValue() == label {
					sum += metric.GetCounter().GetValue()
				}
			}
		}
	}
	return int(sum)
}

// measureOutage makes the store unavailable for two minutes. It returns the
// calls per second to the store of all daemons together, during the outage or in
// the five seconds after it, whichever is more.
func (c *cluster) measureOutage(r *report) float64 {
	const outage = 2 * time.Minute
	const recovery = 5 * time.Second
	c.store.Down(true)
	before := c.storeCalls()
	time.Sleep(outage)
	during := float64(c.storeCalls()-before) / outage.Seconds()
	before = c.storeCalls()
	c.store.Down(false)
	start := time.Now()
	time.Sleep(recovery)
	after := float64(c.storeCalls()-before) / recovery.Seconds()
	for !c.allVerified(start) && time.Since(start) < time.Minute {
		time.Sleep(100 * time.Millisecond)
	}
	r.add("store down for 2 min: its calls/s meanwhile, in 5 s after", "%.1f, %.1f", during, after)
	r.add("until all documents are verified again", "%v", time.Since(start).Round(time.Millisecond))
	return max(during, after)
}

func (c *cluster) storeCalls() uint64 { return total(c.store.Counts()) }

func total(counts fakes.Counts) uint64 {
	return counts.Reads + counts.Writes + counts.Watches + counts.Leases + counts.Lists
}

func (c *cluster) allVerified(since time.Time) bool {
	for _, n := range c.nodes {
		if !n.dead.Load() && n.relay.VerifiedAt().Before(since) {
			return false
		}
	}
	return true
}

// measureJoins starts daemons one by one, waits until all others know each of
// them, and returns the longest time.
func (c *cluster) measureJoins(r *report) time.Duration {
	var times []time.Duration
	for i := range 4 {
		id := fmt.Sprintf("n%03d", i)
		start := time.Now()
		c.start(id, "domain-00")
		for c.standings(id)[wire.Standing_STANDING_ALIVE] < c.liveCount()-1 && time.Since(start) < time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		times = append(times, time.Since(start))
	}
	median, longest := medianAndMax(times)
	r.add("new daemon known to all: median, max", "%v, %v", median, longest)
	return longest
}

// measureDeaths kills daemons one by one, waits until all others have recorded
// each as dead, and returns the longest time.
func (c *cluster) measureDeaths(r *report) time.Duration {
	var times []time.Duration
	for range min(6, r.daemons/2) {
		victim := c.randomNode()
		victim.kill()
		start := time.Now()
		for c.standings(victim.self.Id)[wire.Standing_STANDING_DEAD] < c.liveCount() && time.Since(start) < time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		times = append(times, time.Since(start))
		time.Sleep(time.Second)
	}
	median, longest := medianAndMax(times)
	r.add("dead daemon known to all: median, max", "%v, %v", median, longest)
	return longest
}

func (c *cluster) liveCount() int {
	live := 0
	for _, n := range c.nodes {
		if !n.dead.Load() {
			live++
		}
	}
	return live
}

func medianAndMax(times []time.Duration) (median, longest time.Duration) {
	slices.SortFunc(times, cmp.Compare[time.Duration])
	return times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond)
}
