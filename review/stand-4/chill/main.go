//go:build review

// Command chill shows how many requests a runner gets that becomes cold while the store turns
// one daemon away.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"clementinehead.example/chead/review/stand-4/rig"
)

const config = `{"version":1,"routes":[
 {"name":"file","host":"front.example","path_prefix":"/file/","type":"non_idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"returns","max_attempts":1,"public":false}],
 "services":[{"name":"returns","health_path":"/healthz","max_connections":438,"cold_start_s":3.0,"cold_per_s":36.0}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	coldRate    = 36.0
	overage     = 1.5
	tolerance   = 5
	allowed     = coldRate*overage + tolerance // requests in a second
	crashRate   = 2 * coldRate                 // requests in a second at which a cold runner crashes
	coldTime    = 3 * time.Second
	turnedAway  = 9 * time.Second        // for_s of the site's platform_down (nodes)
	chillAfter  = 300 * time.Millisecond // from when the store turns the daemon away
	settled     = time.Second            // after the chill, from when windows are judged
	workTime    = 10 * time.Millisecond
	downTime    = 3 * time.Second
	usualRate   = 100 // requests a second of the first daemon's clients
	otherRate   = 20  // of each other daemon's
	deadline    = 4 * time.Second
	warmUp      = 5 * time.Second
	resolveTime = time.Second
)

// watch holds what runners and clients saw.
type watch struct {
	mu       sync.Mutex
	chilled  time.Duration // when the runner became cold, 0 before
	arrivals []time.Duration
	from     map[string]int // arrivals while cold, by the daemon that the client used
	runs     map[string]int // by request
	crashed  bool
	results  map[string]int
}

func main() {
	record := flag.String("record", "record.txt", "file of the record")
	flag.Parse()
	s := rig.New(*record, config)
	code := play(s)
	s.Close()
	os.Exit(code)
}

func play(s *rig.Site) int {
	w := &watch{from: map[string]int{}, runs: map[string]int{}, results: map[string]int{}}
	var runners []*rig.Runner
	for i := range 2 {
		runners = append(runners, s.AddRunner(fmt.Sprintf("i-%d", i+1), &rig.Runner{Service: "returns", Zone: fmt.Sprintf("zone-%d", i+1), Slots: 17, Serve: w.serve(s, i == 0)}))
	}
	s.StartDaemons(3)
	s.AwaitReady(10 * time.Second)
	stop := make(chan struct{})
	var all sync.WaitGroup
	for i := range s.Daemons {
		rate := otherRate
		if i == 0 {
			rate = usualRate
		}
		all.Go(func() { w.load(s, i, rate, stop) })
	}
	time.Sleep(warmUp)
	if rig.Trouble() {
		s.Note("the store turns daemon %s away for %v", s.Daemons[0].Name, turnedAway)
		s.Daemons[0].TurnedAway.Store(true)
	}
	time.Sleep(chillAfter)
	w.mu.Lock()
	w.chilled = s.Now()
	w.mu.Unlock()
	runners[0].Chill(coldTime)
	s.Note("runner %s is cold for %v, its entry says so", runners[0].ID(), coldTime)
	time.Sleep(turnedAway - chillAfter)
	s.Daemons[0].TurnedAway.Store(false)
	s.Note("the store serves all")
	time.Sleep(2 * time.Second)
	close(stop)
	all.Wait()
	return w.judge(s)
}

// serve returns what a runner does. The one that becomes cold crashes at too many requests.
func (w *watch) serve(s *rig.Site, chills bool) func(*rig.Runner, http.ResponseWriter, *http.Request) {
	return func(r *rig.Runner, out http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("X-Request-Id")
		_, _ = io.Copy(io.Discard, q.Body)
		w.mu.Lock()
		now := s.Now()
		w.runs[id]++
		crash := false
		if chills && !w.crashed && w.chilled > 0 && now < w.chilled+coldTime {
			w.arrivals = append(w.arrivals, now)
			w.from[strings.Split(id, "-")[0]]++
			s.Note("runner %s, cold, runs %s", r.ID(), id)
			crash = float64(within(w.arrivals, max(w.chilled+settled, now-time.Second))) > crashRate
			w.crashed = crash
		}
		w.mu.Unlock()
		if crash {
			r.Crash(downTime)
			return
		}
		time.Sleep(workTime)
		r.Sign(out, "filed "+id)
	}
}

// within returns the number of times after a time.
func within(times []time.Duration, after time.Duration) int {
	return len(times) - sort.Search(len(times), func(i int) bool { return times[i] > after })
}

// load sends the requests of one daemon's clients, which ask the directory at their nearest
// daemon first, keep its answer for its time and leave a daemon that a new one doesn't name.
func (w *watch) load(s *rig.Site, nearest, rate int, stop chan struct{}) {
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	used := s.Daemons[nearest]
	until := time.Now().Add(2 * time.Second)
	var pending sync.WaitGroup
	defer pending.Wait()
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		if time.Now().After(until) {
			used, until = choose(s, nearest, used)
		}
		d, id := used, fmt.Sprintf("%s-%d-%d", used.Name, nearest, n)
		pending.Go(func() { w.send(s, client, d, id) })
	}
}

// choose asks the directory, and returns the daemon that its answer leaves in use, and for
// how long.
func choose(s *rig.Site, nearest int, used *rig.Daemon) (*rig.Daemon, time.Time) {
	ask := http.Client{Timeout: resolveTime}
	for i := range s.Daemons {
		d := s.Daemons[(nearest+i)%len(s.Daemons)]
		r, err := ask.Get("http://" + d.Guide + "/api/resolve?" + url.Values{"name": {"front.example"}, "region": {"region"}, "zone": {"zone"}}.Encode())
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(r.Body).Decode(&answer)
		_ = r.Body.Close()
		if err != nil || r.StatusCode != http.StatusOK || len(answer.Addresses) == 0 {
			continue
		}
		until := time.Now().Add(time.Duration(answer.TTL * float64(time.Second)))
		if slices.Contains(answer.Addresses, used.Caller) {
			return used, until
		}
		for _, other := range s.Daemons {
			if slices.Contains(answer.Addresses, other.Caller) {
				s.Note("clients of %s leave it for %s", used.Name, other.Name)
				return other, until
			}
		}
	}
	return used, time.Now().Add(time.Second)
}

func (w *watch) send(s *rig.Site, client *http.Client, d *rig.Daemon, id string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+d.Caller+"/file/a", strings.NewReader("return "+id))
	rig.Check(err)
	r.Host = "front.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := client.Do(r)
	result := "no answer"
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		result = fmt.Sprint(resp.StatusCode)
	}
	if result != "200" {
		s.Note("client got for %s: %s", id, result)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results[result]++
}

// judge applies the rule to windows of a second that begin once settled has passed.
func (w *watch) judge(s *rig.Site) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	most := 0
	for i, at := range w.arrivals {
		if at < w.chilled+settled {
			continue
		}
		n := sort.Search(len(w.arrivals), func(j int) bool { return w.arrivals[j] >= at+time.Second }) - i
		most = max(most, n)
	}
	s.Note("answers by status: %v; arrivals while cold, by the client's daemon: %v; crashed: %v", w.results, w.from, w.crashed)
	s.Note("most arrivals in a second, from %v after the chill on: %d, allowed: %.0f", settled, most, allowed)
	switch {
	case w.results["200"] == 0:
		return rig.NotRun
	case float64(most) > allowed:
		s.Note("FAILBACK is broken")
		return rig.Broken
	}
	s.Note("FAILBACK holds")
	return rig.Held
}
