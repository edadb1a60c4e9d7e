//go:build review

package stand

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

// The case chill shows how many requests a runner gets that becomes cold while the store turns
// one daemon away.

const chillConfig = `{"version":1,"routes":[
 {"name":"file","host":"front.example","path_prefix":"/file/","type":"non_idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"returns","max_attempts":1,"public":false}],
 "services":[{"name":"returns","health_path":"/healthz","max_connections":438,"cold_start_s":3.0,"cold_per_s":36.0}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	chillColdRate    = 36.0
	chillOverage     = 1.5
	chillTolerance   = 5
	chillAllowed     = chillColdRate*chillOverage + chillTolerance // requests in a second
	chillCrashRate   = 2 * chillColdRate                           // requests in a second at which a cold runner crashes
	chillColdTime    = 3 * time.Second
	chillTurnedAway  = 9 * time.Second        // for_s of the site's platform_down (nodes)
	chillChillAfter  = 300 * time.Millisecond // from when the store turns the daemon away
	chillSettled     = time.Second            // after the chill, from when windows are judged
	chillWorkTime    = 10 * time.Millisecond
	chillDownTime    = 3 * time.Second
	chillUsualRate   = 100 // requests a second of the first daemon's clients
	chillOtherRate   = 20  // of each other daemon's
	chillDeadline    = 4 * time.Second
	chillWarmUp      = 5 * time.Second
	chillResolveTime = time.Second
)

// chillWatch holds what runners and clients saw.
type chillWatch struct {
	mu       sync.Mutex
	chilled  time.Duration // when the runner became cold, 0 before
	arrivals []time.Duration
	from     map[string]int // arrivals while cold, by the daemon that the client used
	runs     map[string]int // by request
	crashed  bool
	results  map[string]int
}

func chillPlay(s *Site) int {
	w := &chillWatch{from: map[string]int{}, runs: map[string]int{}, results: map[string]int{}}
	var runners []*Runner
	for i := range 2 {
		runners = append(runners, s.AddRunner(fmt.Sprintf("i-%d", i+1), &Runner{Service: "returns", Zone: fmt.Sprintf("zone-%d", i+1), Slots: 17, Serve: w.serve(s, i == 0)}))
	}
	s.StartDaemons(3)
	s.AwaitReady(10 * time.Second)
	stop := make(chan struct{})
	var all sync.WaitGroup
	for i := range s.Daemons {
		rate := chillOtherRate
		if i == 0 {
			rate = chillUsualRate
		}
		all.Go(func() { w.load(s, i, rate, stop) })
	}
	time.Sleep(chillWarmUp)
	if Trouble() {
		s.Note("the store turns daemon %s away for %v", s.Daemons[0].Name, chillTurnedAway)
		s.Daemons[0].TurnedAway.Store(true)
	}
	time.Sleep(chillChillAfter)
	w.mu.Lock()
	w.chilled = s.Now()
	w.mu.Unlock()
	runners[0].Chill(chillColdTime)
	s.Note("runner %s is cold for %v, its entry says so", runners[0].ID(), chillColdTime)
	time.Sleep(chillTurnedAway - chillChillAfter)
	s.Daemons[0].TurnedAway.Store(false)
	s.Note("the store serves all")
	time.Sleep(2 * time.Second)
	close(stop)
	all.Wait()
	return w.judge(s)
}

// serve returns what a runner does. The one that becomes cold crashes at too many requests.
func (w *chillWatch) serve(s *Site, chills bool) func(*Runner, http.ResponseWriter, *http.Request) {
	return func(r *Runner, out http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("X-Request-Id")
		_, _ = io.Copy(io.Discard, q.Body)
		w.mu.Lock()
		now := s.Now()
		w.runs[id]++
		crash := false
		if chills && !w.crashed && w.chilled > 0 && now < w.chilled+chillColdTime {
			w.arrivals = append(w.arrivals, now)
			w.from[strings.Split(id, "-")[0]]++
			s.Note("runner %s, cold, runs %s", r.ID(), id)
			crash = float64(chillWithin(w.arrivals, max(w.chilled+chillSettled, now-time.Second))) > chillCrashRate
			w.crashed = crash
		}
		w.mu.Unlock()
		if crash {
			r.Crash(chillDownTime)
			return
		}
		time.Sleep(chillWorkTime)
		r.Sign(out, "filed "+id)
	}
}

// chillWithin returns the number of times after a time.
func chillWithin(times []time.Duration, after time.Duration) int {
	return len(times) - sort.Search(len(times), func(i int) bool { return times[i] > after })
}

// load sends the requests of one daemon's clients, which ask the directory at their nearest
// daemon first, keep its answer for its time and leave a daemon that a new one doesn't name.
func (w *chillWatch) load(s *Site, nearest, rate int, stop chan struct{}) {
	client := &http.Client{Timeout: chillDeadline, Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
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
			used, until = chillChoose(s, nearest, used)
		}
		d, id := used, fmt.Sprintf("%s-%d-%d", used.Name, nearest, n)
		pending.Go(func() { w.send(s, client, d, id) })
	}
}

// chillChoose asks the directory, and returns the daemon that its answer leaves in use, and for
// how long.
func chillChoose(s *Site, nearest int, used *Daemon) (*Daemon, time.Time) {
	ask := http.Client{Timeout: chillResolveTime}
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

func (w *chillWatch) send(s *Site, client *http.Client, d *Daemon, id string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+d.Caller+"/file/a", strings.NewReader("return "+id))
	Check(err)
	r.Host = "front.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(chillDeadline.Milliseconds()))
	s.Note("client sends %s to %s: %s %s", id, d.Name, r.Method, r.URL.Path)
	resp, err := client.Do(r)
	result := "no answer"
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		result = fmt.Sprint(resp.StatusCode)
	}
	s.Note("client got for %s: %s", id, result)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results[result]++
}

// judge applies the rule to windows of a second that begin once settled has passed.
func (w *chillWatch) judge(s *Site) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	most := 0
	for i, at := range w.arrivals {
		if at < w.chilled+chillSettled {
			continue
		}
		n := sort.Search(len(w.arrivals), func(j int) bool { return w.arrivals[j] >= at+time.Second }) - i
		most = max(most, n)
	}
	s.Note("answers by status: %v; arrivals while cold, by the client's daemon: %v; crashed: %v", w.results, w.from, w.crashed)
	s.Note("most arrivals in a second, from %v after the chill on: %d, allowed: %.0f", chillSettled, most, chillAllowed)
	switch {
	case w.results["200"] == 0:
		return NotRun
	case float64(most) > chillAllowed:
		s.Note("FAILBACK is broken")
		return Broken
	}
	s.Note("FAILBACK holds")
	return Held
}
