package stand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// revokeBound is revoke_ms, which counts from the acknowledgement.
const revokeBound = 5 * time.Second

// drill is a drill of the store around a configuration that takes a key away. Its times count
// from the acknowledgement of that configuration.
type drill struct {
	copyBefore time.Duration      // the store comes back from a copy from so long before it
	awayAt     time.Duration      // the store goes away
	atAway     func(*scene) error // what happens to daemons then
	backAt     time.Duration      // the store is back
	atBack     func(*scene) error // what happens to daemons then
	rewriteAt  time.Duration      // operator and servers have written again what the copy lacks
	endAt      time.Duration      // no more requests are sent
}

// powerLoss is a drill in which all daemons lose power. They start again as the store is back.
var powerLoss = drill{
	copyBefore: 500 * time.Millisecond, awayAt: 3500 * time.Millisecond, backAt: 4500 * time.Millisecond,
	rewriteAt: 6500 * time.Millisecond, endAt: 9 * time.Second,
	atAway: func(s *scene) error {
		for _, d := range s.daemons {
			d.kill()
		}
		return nil
	},
	atBack: func(s *scene) error {
		for _, d := range s.daemons {
			if err := d.start(); err != nil {
				return err
			}
		}
		return nil
	},
}

// newMachine is a drill during which one machine is removed and another one added, at another
// address. All other daemons run on.
var newMachine = drill{
	copyBefore: 500 * time.Millisecond, awayAt: time.Second, backAt: 4500 * time.Millisecond,
	rewriteAt: 6500 * time.Millisecond, endAt: 9 * time.Second,
	atAway: func(s *scene) error {
		s.daemons[0].kill()
		d, err := newDaemon(s.program, s.dir, "edge-ashburton-9", "ashburton", s.storeAt, "", s.record)
		if err != nil {
			return err
		}
		s.daemons[0] = d
		return d.start()
	},
	atBack: func(*scene) error { return nil },
}

// config returns a version of the configuration, with the keys of the one client account.
func config(version int, keys ...string) []byte {
	list, err := json.Marshal(append([]string{}, keys...))
	if err != nil {
		panic(err)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[
 {"name":"lookup","host":"%s","path_prefix":"/lookup/","type":"idempotent","timeout_ms":2000,"target_latency_ms":300,"service":"returns-desk","max_attempts":2}],
 "services":[{"name":"returns-desk","health_path":"/healthz","max_connections":96}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":5000,"idle_timeout_ms":10000},
 "tenants":[{"name":"growers","api_keys":%s}]}`, version, host, list)
}

const (
	callDeadline = 2 * time.Second

	keptKey  = "key-kept"
	takenKey = "key-taken"
)

// play takes a key away, has the drill, and checks that no request with that key runs which
// was sent later than revokeBound after the acknowledgement.
func (d drill) play(s *scene) (int, error) {
	s.store.put("op/config", config(10, keptKey, takenKey))
	if err := s.build(6); err != nil {
		return failed, err
	}
	if err := awaitReady(s.daemons, 10*time.Second); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second) // contact_ms
	for _, c := range s.callsTo(-1, resolve(s.daemons, "ashburton")) {
		if c.send(callDeadline, s.record); c.status != http.StatusOK {
			return failed, fmt.Errorf("request %s before the key is taken away: status %d", c.id, c.status)
		}
	}
	older := s.store.copy()
	s.record.add("drill", "the copy is made")
	time.Sleep(d.copyBefore)
	acknowledged := s.store.put("op/config", config(11, keptKey))
	s.record.add("revoke", "version 11 without %s is acknowledged", takenKey)
	steps := []struct {
		at   time.Duration
		what string
		do   func() error
	}{
		{d.awayAt, "the store goes away", func() error { s.store.leave(); return d.atAway(s) }},
		{d.backAt, "the store is back from its copy", func() error { s.store.comeBack(older); return d.atBack(s) }},
		{d.rewriteAt, "operator and servers have written again", func() error {
			for _, p := range s.servers {
				s.publish(p)
			}
			s.store.put("op/config", config(11, keptKey))
			return nil
		}},
	}
	var calls []*call
	var pending sync.WaitGroup
	for n := 0; time.Since(acknowledged) < d.endAt; n++ {
		for s.trouble && len(steps) > 0 && time.Since(acknowledged) >= steps[0].at {
			s.record.add("drill", "%s", steps[0].what)
			if err := steps[0].do(); err != nil {
				return failed, err
			}
			steps = steps[1:]
		}
		for _, c := range s.callsTo(n, resolve(s.daemons, "ashburton")) {
			calls = append(calls, c)
			pending.Go(func() { c.send(callDeadline, s.record) })
		}
		time.Sleep(100 * time.Millisecond)
	}
	pending.Wait()
	return s.judge(calls, acknowledged)
}

// judge counts the requests that ran though their key had been taken away.
func (s *scene) judge(calls []*call, acknowledged time.Time) (int, error) {
	late, served, afterwards := 0, 0, 0
	for _, c := range calls {
		after := c.sent.Sub(acknowledged)
		if c.key == keptKey && c.status == http.StatusOK {
			served++
			if after > revokeBound {
				afterwards++
			}
		}
		if c.key != takenKey || after <= revokeBound {
			continue
		}
		for _, p := range s.servers {
			if p.ran(c.id) > 0 {
				late++
				s.record.add("broken", "request %s with %s, sent %.3f s after the acknowledgement, ran at %s and was answered %d", c.id, takenKey, after.Seconds(), p.id, c.status)
			}
		}
	}
	line := fmt.Sprintf("%d requests with the key that was taken away, sent over %v after the acknowledgement, ran; with the other key %d were served, %d of them sent so late", late, revokeBound, served, afterwards)
	fmt.Println(line)
	s.record.add("result", "%s", line)
	switch {
	case afterwards == 0:
		return failed, fmt.Errorf("no request with the key that was kept was served")
	case late > 0:
		return broken, nil
	}
	return held, nil
}

// callsTo returns the calls of one round: the directory names some daemons, and of many clients
// one with each key goes to each of them.
func (s *scene) callsTo(round int, addresses []string) []*call {
	var calls []*call
	for i, address := range addresses {
		for _, key := range []string{takenKey, keptKey} {
			id := fmt.Sprintf("%s-%d-%d", key, round, i)
			calls = append(calls, &call{id: id, key: key, address: address, path: "/lookup/" + id, method: http.MethodGet})
		}
	}
	return calls
}
