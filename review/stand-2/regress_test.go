package stand

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Times of the case regress, from when the store turns the daemon away.
const (
	turnedAway   = 9 * time.Second        // the store turns the daemon away
	cutFrom      = 500 * time.Millisecond // the daemon reaches no server
	cutUntil     = 5500 * time.Millisecond
	changeAt     = 2 * time.Second         // the route moves to the other service
	sendUntil    = 8500 * time.Millisecond // callers keep an answer of the directory for three times ttl_s
	rollback     = 250 * time.Millisecond  // rollback_slack_ms
	regressPause = 50 * time.Millisecond   // between two requests
)

// ownSource is the address that connections of the daemon of the case come from, as of a
// machine of its own.
const ownSource = "127.0.0.2"

// movedConfig returns a version of the configuration with one public route.
func movedConfig(version int, service string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[
 {"name":"lookup","host":"%s","path_prefix":"/lookup/","type":"idempotent","timeout_ms":2000,"target_latency_ms":300,"service":"%s","max_attempts":2,"public":true}],
 "services":[{"name":"returns-desk","health_path":"/healthz","max_connections":96},{"name":"returns-new","health_path":"/healthz","max_connections":96}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":5000,"idle_timeout_ms":10000},
 "tenants":[{"name":"growers","api_keys":["%s"]}]}`, version, host, service, keptKey)
}

// regress moves a route to another service while one daemon is turned away by the store and
// reaches no server for a time, and checks that this daemon doesn't go back to the old service
// once its requests have run at the new one.
func regress(s *scene) (int, error) {
	s.store.put("op/config", movedConfig(10, "returns-desk"))
	s.source = map[int]string{0: ownSource}
	s.services = []string{"returns-desk", "returns-new"}
	if err := s.build(6); err != nil {
		return failed, err
	}
	if err := awaitReady(s.daemons, 10*time.Second); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second) // contact_ms
	began := time.Now()
	after := func(d time.Duration) func() bool { return func() bool { return time.Since(began) >= d } }
	steps := []struct {
		due     func() bool
		what    string
		trouble bool
		do      func()
	}{
		{after(0), "the store turns edge-ashburton-1 away", true, func() { s.own.denied.Store(true) }},
		{after(cutFrom), "edge-ashburton-1 reaches no server", true, func() { s.paths.set(ownSource, true) }},
		{after(changeAt), "version 11 is acknowledged: the route goes to returns-new", false, func() { s.store.put("op/config", movedConfig(11, "returns-new")) }},
		{after(cutUntil), "edge-ashburton-1 reaches the servers again", true, func() { s.paths.set(ownSource, false) }},
		{after(turnedAway), "the store serves edge-ashburton-1 again", true, func() { s.own.denied.Store(false) }},
	}
	var calls []*call
	var pending sync.WaitGroup
	for n := 0; time.Since(began) < turnedAway+time.Second; n++ {
		for len(steps) > 0 && steps[0].due() {
			if s.trouble || !steps[0].trouble {
				s.record.add("step", "%s", steps[0].what)
				steps[0].do()
			}
			steps = steps[1:]
		}
		if time.Since(began) < sendUntil {
			id := fmt.Sprintf("lookup-%d", n)
			c := &call{id: id, address: s.daemons[0].caller, path: "/lookup/" + id, method: http.MethodGet}
			calls = append(calls, c)
			pending.Go(func() { c.send(callDeadline, s.record) })
		}
		time.Sleep(regressPause)
	}
	pending.Wait()
	return s.judgeRegress(calls)
}

// judgeRegress counts the requests that ran at the old service though one that was sent to the
// same daemon had run at the new one before they were sent.
func (s *scene) judgeRegress(calls []*call) (int, error) {
	var seen time.Time // when a server first saw the effect of version 11
	counts := map[string]int{}
	for _, c := range calls {
		service, at := s.ranAt(c)
		counts[service]++
		if service == "returns-new" && (seen.IsZero() || at.Before(seen)) {
			seen = at
		}
	}
	back := 0
	for _, c := range calls {
		service, _ := s.ranAt(c)
		if service == "returns-desk" && !seen.IsZero() && c.sent.Sub(seen) > rollback {
			back++
			s.record.add("broken", "request %s, sent %.3f s after a server saw version 11, ran at %s", c.id, c.sent.Sub(seen).Seconds(), service)
		}
	}
	line := fmt.Sprintf("%d requests ran at the old service, sent over %v after one had run at the new one; in all %d at the old, %d at the new, %d at none", back, rollback, counts["returns-desk"], counts["returns-new"], counts[""])
	fmt.Println(line)
	s.record.add("result", "%s", line)
	switch {
	case back > 0:
		return broken, nil
	case counts["returns-new"] == 0:
		return failed, fmt.Errorf("no request ran at the new service")
	}
	return held, nil
}

// ranAt returns the service at which a call first ran, empty if it didn't run, and when.
func (s *scene) ranAt(c *call) (service string, at time.Time) {
	for _, p := range s.servers {
		if first, ran := p.firstRun(c.id); ran && (at.IsZero() || first.Before(at)) {
			service, at = p.service, first
		}
	}
	return service, at
}
