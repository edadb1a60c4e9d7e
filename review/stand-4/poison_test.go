//go:build review

package stand

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case poison shows what becomes of a request that crashes the runners that run it and
// comes again and again, where the client gives up early (leave), the daemons are
// stopped and started in turn (roll), or it comes for over a minute (stay).

const poisonConfig = `{"version":1,"routes":[
 {"name":"file","host":"front.example","path_prefix":"/file/","type":"non_idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"returns","max_attempts":1,"public":false}],
 "services":[{"name":"returns","health_path":"/healthz","max_connections":96,"cold_start_s":0,"cold_per_s":0}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"guild","api_keys":["good-key"]}]}`

const (
	poisonRunners      = 6
	poisonWorkTime     = 60 * time.Millisecond  // of a usual request
	poisonCrashAfter   = 400 * time.Millisecond // from the start of the poisonous request's run to the crash
	poisonLeaveAfter   = 150 * time.Millisecond // half of the target latency
	poisonDownTime     = 3 * time.Second        // of a runner after a crash
	poisonPoisonPeriod = 2 * time.Second        // between two comings of the poisonous request
	poisonEagerPeriod  = 200 * time.Millisecond // the same of a client that doesn't wait as told
	poisonLoadPeriod   = 50 * time.Millisecond  // between two usual requests
	poisonContact      = 3 * time.Second        // contact_ms
	poisonPoisonBody   = "the return that crashes runners"
)

// poisonArrival is one arrival of the poisonous request at a runner.
type poisonArrival struct {
	at      time.Duration
	request string
}

// poisonWatch holds what runners and clients saw.
type poisonWatch struct {
	mu       sync.Mutex
	arrivals []poisonArrival
	crashes  []time.Duration
	sentBy   map[string]*Daemon // by request
	touched  map[string]time.Duration
	lost     int // usual requests that got no answer of their runner, and may have run
	served   int
	usual    sync.WaitGroup // usual requests in progress
}

func poisonPlay(s *Site, how string) int {
	w := &poisonWatch{sentBy: map[string]*Daemon{}, touched: map[string]time.Duration{}}
	for i := range poisonRunners {
		s.AddRunner(fmt.Sprintf("i-%d", i+1), &Runner{Service: "returns", Zone: fmt.Sprintf("zone-%d", i%3+1), Slots: 6, Serve: poisonServe(s, w)})
	}
	s.StartDaemons(3)
	s.AwaitReady(10 * time.Second)
	time.Sleep(poisonContact)
	stop := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() { poisonLoad(s, w, stop) })
	if how != "stay" || Trouble() {
		all.Go(func() { poisonPoison(s, w, how, stop) })
	}
	time.Sleep(12 * time.Second)
	switch {
	case how == "stay":
		time.Sleep(60 * time.Second)
	case how == "roll" && Trouble():
		for range 2 {
			poisonRoll(s, w)
		}
	}
	time.Sleep(24 * time.Second)
	close(stop)
	all.Wait()
	w.usual.Wait()
	return w.judge(s)
}

// poisonServe returns what a runner does: the poisonous request crashes it.
func poisonServe(s *Site, w *poisonWatch) func(*Runner, http.ResponseWriter, *http.Request) {
	return func(r *Runner, out http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("X-Request-Id")
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if string(body) != poisonPoisonBody {
			time.Sleep(poisonWorkTime)
			r.Sign(out, "filed "+id)
			return
		}
		s.Note("runner %s runs the poisonous request %s", r.ID(), id)
		w.mu.Lock()
		w.arrivals = append(w.arrivals, poisonArrival{s.Now(), id})
		w.mu.Unlock()
		time.Sleep(poisonCrashAfter)
		w.mu.Lock()
		w.crashes = append(w.crashes, s.Now())
		w.mu.Unlock()
		r.Crash(poisonDownTime)
	}
}

// poisonLoad sends usual requests, to the daemons in turn, whose clients wait for their answers.
func poisonLoad(s *Site, w *poisonWatch, stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(poisonLoadPeriod):
		}
		d := w.pick(s, n)
		if d == nil {
			continue
		}
		w.usual.Go(func() {
			id := fmt.Sprintf("usual-%d", n)
			a := Send(Request{Daemon: d, Method: http.MethodPost, Path: "/file/a", ID: id, Key: "good-key", Body: "return " + id, Deadline: 4 * time.Second})
			w.mu.Lock()
			defer w.mu.Unlock()
			switch {
			case a.Status == http.StatusOK && a.Body == "filed "+id:
				w.served++
			case a.Status == http.StatusBadGateway || a.Status == http.StatusGatewayTimeout || a.Status == 0:
				w.lost++
			}
		})
	}
}

// pick returns a daemon that clients may use: one that is ready and isn't being stopped.
func (w *poisonWatch) pick(s *Site, n int) *Daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range s.Daemons {
		d := s.Daemons[(n+i)%len(s.Daemons)]
		if w.touched[d.Name] >= 0 {
			return d
		}
	}
	return nil
}

// poisonPoison sends the poisonous request again and again, each time as a new attempt with the
// same path, caller and body, to the daemons in turn.
func poisonPoison(s *Site, w *poisonWatch, how string, stop chan struct{}) {
	period := poisonPoisonPeriod
	if how == "stay" {
		period = poisonEagerPeriod
	}
	var sent sync.WaitGroup
	defer sent.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(period):
		}
		d := w.pick(s, n)
		if d == nil {
			continue
		}
		q := Request{Daemon: d, Method: http.MethodPost, Path: "/file/a", ID: fmt.Sprintf("poison-%d", n), Key: "good-key", Body: poisonPoisonBody, Deadline: 4 * time.Second}
		if how == "leave" && Trouble() {
			q.Leave = poisonLeaveAfter
		}
		w.mu.Lock()
		w.sentBy[q.ID] = d
		w.mu.Unlock()
		sent.Go(func() { Send(q) })
	}
}

// poisonRoll stops and starts the daemons in turn. Clients use each again once it is in touch.
func poisonRoll(s *Site, w *poisonWatch) {
	for _, d := range s.Daemons {
		w.touch(d, -1)
		d.Signal(syscall.SIGTERM)
		d.Await()
		d.Start()
		for !d.IsReady() {
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(poisonContact + 500*time.Millisecond)
		w.touch(d, s.Now())
	}
}

// touch records from when on a daemon is in touch, -1 if it isn't.
func (w *poisonWatch) touch(d *Daemon, at time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.touched[d.Name] = at
}

// judge applies the rule: once the request has crashed the third runner, and contact_ms
// later, it may reach runners in three retries at the most.
func (w *poisonWatch) judge(s *Site) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	late := map[string]bool{}
	var names []string
	if len(w.crashes) >= 3 {
		for _, a := range w.arrivals {
			if a.at > w.crashes[2]+poisonContact && !late[a.request] {
				late[a.request] = true
				names = append(names, a.request)
			}
		}
	}
	s.Note("%d arrivals of the poisonous request, %d crashes, usual requests: %d served, %d without their answer", len(w.arrivals), len(w.crashes), w.served, w.lost)
	s.Note("retries that reached a runner over %v after the third crash: %d (%s), allowed: 3", poisonContact, len(late), strings.Join(names, " "))
	if len(w.crashes) < 3 && len(w.sentBy) > 0 || w.served == 0 {
		return NotRun
	}
	if len(late) > 3 {
		s.Note("BUDGET is broken")
		return Broken
	}
	s.Note("BUDGET holds")
	return Held
}
