package stand

import (
	"fmt"
	"net/http"
	"time"
)

// Keys that the client account of the case lastKeys has at first, and one that nobody has.
var accountKeys = []string{"key-one", "key-two"}

const unknownKey = "key-unknown"

const revokeGap = 1500 * time.Millisecond // between two versions that each take a key away

// lastKeys takes all keys of the only client account away, one after the other, and checks that
// no request with one of them runs which was sent later than revokeBound after the
// acknowledgement of the version that took it away, and none with a key that no version held.
func lastKeys(s *scene) (int, error) {
	s.store.put("op/config", config(10, accountKeys...))
	if err := s.build(6); err != nil {
		return failed, err
	}
	if err := awaitReady(s.daemons, 10*time.Second); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second) // contact_ms
	taken := map[string]time.Time{}
	if s.trouble {
		for i, key := range accountKeys {
			taken[key] = s.store.put("op/config", config(11+i, accountKeys[i+1:]...))
			s.record.add("revoke", "version %d without %s is acknowledged, %d keys are left", 11+i, key, len(accountKeys)-i-1)
			time.Sleep(revokeGap)
		}
	}
	time.Sleep(revokeBound)
	late, foreign, served, refused := 0, 0, 0, 0
	for round := range 20 {
		for i, address := range resolve(s.daemons, "ashburton") {
			for _, key := range append([]string{unknownKey}, accountKeys...) {
				id := fmt.Sprintf("%s-%d-%d", key, round, i)
				c := &call{id: id, key: key, address: address, path: "/lookup/" + id, method: http.MethodGet}
				c.send(callDeadline, s.record)
				at, gone := taken[key]
				switch ran := s.ran(c); {
				case c.status == http.StatusUnauthorized:
					refused++
				case ran && key == unknownKey:
					foreign++
					s.record.add("broken", "request %s ran, with a key that no version held", c.id)
				case ran && gone && c.sent.Sub(at) > revokeBound:
					late++
					s.record.add("broken", "request %s ran, sent %.3f s after the acknowledgement that takes its key away", c.id, c.sent.Sub(at).Seconds())
				case ran:
					served++
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	line := fmt.Sprintf("%d requests ran whose key had been taken away over %v before, %d with a key that no version held; %d others were served, %d refused with 401", late, revokeBound, foreign, served, refused)
	fmt.Println(line)
	s.record.add("result", "%s", line)
	switch {
	case late+foreign > 0:
		return broken, nil
	case refused == 0:
		return failed, fmt.Errorf("no request was refused with 401")
	}
	return held, nil
}

// ran reports whether a call ran at some server.
func (s *scene) ran(c *call) bool {
	for _, p := range s.servers {
		if p.ran(c.id) > 0 {
			return true
		}
	}
	return false
}
