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

// measureStart starts all daemons within two seconds.
func (c *cluster) measureStart(r *report) {
	began := time.Now()
	c.startAll(r.daemons, r.domains)
	for !c.allKnown() {
		time.Sleep(100 * time.Millisecond)
	}
	r.add("all started at once: until everybody knows everybody", "%v", time.Since(began).Round(time.Millisecond))
	counts := c.store.Counts()
	r.add("store calls of that: reads, writes, watches", "%d, %d, %d", counts.Reads, counts.Writes, counts.Watches)
	time.Sleep(settle)
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
	for range int(measured / time.Second) {
		time.Sleep(time.Second)
		for _, n := range c.nodes {
			ages = append(ages, time.Since(n.relay.Confirmed()))
		}
	}
	cpu = processorTime() - cpu
	after := c.store.Counts()
	sum, busiest, calls := c.totals()
	seconds, daemons := measured.Seconds(), float64(r.daemons)
	r.idle = sum / daemons / seconds
	r.add("bytes/s a daemon, sent and received, idle: mean, busiest", "%.0f, %.0f", r.idle, busiest/seconds)
	r.add("calls/s to peers a daemon, idle", "%.2f", calls/daemons/seconds)
	r.add("processor time a daemon and second, idle, without transport", "%v", cpu/time.Duration(daemons*seconds))
	r.add("heap a daemon, test included", "%d KiB", heap()/uint64(r.daemons)>>10)
	r.add("store calls/s of all daemons, idle: reads, writes, watches", "%.2f, %.2f, %.2f",
		float64(after.Reads-before.Reads)/seconds,
		float64(after.Writes-before.Writes)/seconds,
		float64(after.Watches-before.Watches)/seconds)
	median, longest := spread(ages)
	r.add("age of the store's vouching: median, max", "%v, %v", median, longest)
}

func (c *cluster) resetBytes() {
	for _, n := range c.nodes {
		n.bytes.Store(0)
		n.calls.Store(0)
	}
}

// totals returns the sum and the maximum of the daemons' bytes, and their calls.
func (c *cluster) totals() (sum, busiest, calls float64) {
	for _, n := range c.nodes {
		sum += float64(n.bytes.Load())
		busiest = max(busiest, float64(n.bytes.Load()))
		calls += float64(n.calls.Load())
	}
	return sum, busiest, calls
}

// processorTime is what this process has used.
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

// measureEdits writes the configuration as an accepting daemon does, waits
// until all have it in force, and returns the longest time.
func (c *cluster) measureEdits(r *report, what string) time.Duration {
	var times []time.Duration
	c.resetBytes()
	began := time.Now()
	for range editsTried {
		at := c.any()
		entry := c.write(at)
		start := time.Now()
		at.relay.Learn(entry)
		for !c.allHave(entry.Revision) && time.Since(start) < time.Minute {
			time.Sleep(20 * time.Millisecond)
		}
		times = append(times, time.Since(start))
		time.Sleep(5 * time.Second)
	}
	sum, _, _ := c.totals()
	above := sum/float64(r.daemons) - r.idle*time.Since(began).Seconds()
	median, longest := spread(times)
	r.add(what, "%v, %v", median, longest)
	r.add("bytes a daemon and edit above idle", "%.0f", above/editsTried)
	return longest
}

// measureStorm writes fabric domains' values for ten seconds, as keepers do when
// a failure domain goes dark, and returns the store's calls a second.
func (c *cluster) measureStorm(r *report) float64 {
	const lasts, apart = 10 * time.Second, 50 * time.Millisecond
	const fabrics, value = 30, 6 << 10 // bytes
	c.resetBytes()
	before := c.storeCalls()
	start := time.Now()
	for i := 0; time.Since(start) < lasts; i++ {
		at := c.any()
		at.relay.Learn(c.writeFabric(at, fmt.Sprintf("f%02d", i%fabrics), value))
		time.Sleep(apart)
	}
	calls := float64(c.storeCalls()-before) / lasts.Seconds()
	sum, _, _ := c.totals()
	r.add("20 revisions/s of fabric domains for 10 s: store calls/s", "%.0f", calls)
	r.add("bytes/s a daemon meanwhile", "%.0f", sum/float64(r.daemons)/lasts.Seconds())
	quiet := time.Now()
	for !c.allEqual() && time.Since(quiet) < time.Minute {
		time.Sleep(100 * time.Millisecond)
	}
	r.add("after it, until all hold the same", "%v", time.Since(quiet).Round(time.Millisecond))
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

// any returns a random daemon that lives.
func (c *cluster) any() *node {
	var living []string
	for address, n := range c.nodes {
		if !n.dead.Load() {
			living = append(living, address)
		}
	}
	slices.Sort(living)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[living[c.random.IntN(len(living))]]
}

// write stores the next configuration.
func (c *cluster) write(at *node) store.Entry {
	client := store.New("http://store", at.do)
	current, err := client.Get(c.t.Context(), fleet.Conf)
	if err != nil {
		current = store.Entry{} // there is none yet
	}
	c.serial++
	value, err := json.Marshal(edit.Envelope{Serial: c.serial, Document: conf.Document{Domains: map[string]conf.Domain{
		"north": {Region: strings.Repeat("x", content)},
	}}})
	if err != nil {
		c.t.Fatal(err)
	}
	revision, err := client.Put(c.t.Context(), store.Put{Key: fleet.Conf, Value: value, Prev: current.Revision})
	if err != nil {
		c.t.Fatal(err)
	}
	return store.Entry{Key: fleet.Conf, Value: value, Revision: revision}
}

func (c *cluster) allHave(revision uint64) bool {
	for _, n := range c.nodes {
		if !n.dead.Load() && n.relay.View().Revision < revision {
			return false
		}
	}
	return true
}

// measureLoss counts how often daemons suspect ones that live, and returns how
// often one heard that a living one is dead.
func (c *cluster) measureLoss(r *report) int {
	suspected := c.counted("chead_roster_beats_total", "suspected")
	dead := c.counted("chead_roster_changes_total", "dead")
	c.setLoss(0.01)
	time.Sleep(measured)
	c.setLoss(0)
	time.Sleep(settle)
	suspected = c.counted("chead_roster_beats_total", "suspected") - suspected
	dead = c.counted("chead_roster_changes_total", "dead") - dead
	r.add("1% of calls lost for a minute: false suspicions, false deaths", "%d, %d", suspected, dead)
	return dead
}

// counted sums a counter with a label over all daemons.
func (c *cluster) counted(name, label string) int {
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

// measureOutage has the store down for two minutes and returns the calls a
// second that all daemons together make meanwhile, or in the five seconds
// after it came back if these are more.
func (c *cluster) measureOutage(r *report) float64 {
	const outage = 2 * time.Minute
	const back = 5 * time.Second
	c.store.Down(true)
	before := c.storeCalls()
	time.Sleep(outage)
	during := float64(c.storeCalls()-before) / outage.Seconds()
	before = c.storeCalls()
	c.store.Down(false)
	start := time.Now()
	time.Sleep(back)
	after := float64(c.storeCalls()-before) / back.Seconds()
	for !c.allVouched(start) && time.Since(start) < time.Minute {
		time.Sleep(100 * time.Millisecond)
	}
	r.add("store down for 2 min: its calls/s meanwhile, in 5 s after", "%.1f, %.1f", during, after)
	r.add("until it vouches for all again", "%v", time.Since(start).Round(time.Millisecond))
	return max(during, after)
}

func (c *cluster) storeCalls() uint64 { return total(c.store.Counts()) }

func total(counts fakes.Counts) uint64 {
	return counts.Reads + counts.Writes + counts.Watches + counts.Leases + counts.Lists
}

func (c *cluster) allVouched(since time.Time) bool {
	for _, n := range c.nodes {
		if !n.dead.Load() && n.relay.Confirmed().Before(since) {
			return false
		}
	}
	return true
}

// measureJoins starts daemons one by one, waits until all others know each,
// and returns the longest time.
func (c *cluster) measureJoins(r *report) time.Duration {
	var times []time.Duration
	for i := range 4 {
		id := fmt.Sprintf("n%03d", i)
		start := time.Now()
		c.start(id, "domain-00")
		for c.standings(id)[wire.Standing_STANDING_ALIVE] < c.living()-1 && time.Since(start) < time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		times = append(times, time.Since(start))
	}
	median, longest := spread(times)
	r.add("new daemon known to all: median, max", "%v, %v", median, longest)
	return longest
}

// measureDeaths kills daemons one by one, waits until all others know of each,
// and returns the longest time.
func (c *cluster) measureDeaths(r *report) time.Duration {
	var times []time.Duration
	for range min(6, r.daemons/2) {
		victim := c.any()
		victim.kill()
		start := time.Now()
		for c.standings(victim.self.Id)[wire.Standing_STANDING_DEAD] < c.living() && time.Since(start) < time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		times = append(times, time.Since(start))
		time.Sleep(time.Second)
	}
	median, longest := spread(times)
	r.add("dead daemon known to all: median, max", "%v, %v", median, longest)
	return longest
}

func (c *cluster) living() int {
	living := 0
	for _, n := range c.nodes {
		if !n.dead.Load() {
			living++
		}
	}
	return living
}

func spread(times []time.Duration) (median, longest time.Duration) {
	slices.SortFunc(times, cmp.Compare[time.Duration])
	return times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond)
}
