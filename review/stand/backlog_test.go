//go:build review

package stand

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"clementinehead.example/chead/simul"
)

const (
	stormRoutes   = 520 // 110 that are idle and 410 more, as in a small deployment
	stormVersions = 50
	stormPause    = 80 * time.Millisecond
	turnedAwayFor = 9 * time.Second
)

// backlog changes the configuration in quick succession while the store turns one daemon
// away. The last change takes a key away. It checks that no request with this key runs that
// was sent later than revokeTime after that.
func backlog(c *cluster) (bool, error) {
	const withdrawn = "old-key"
	c.store.Put(simul.ConfigKey, bigConfig(2, withdrawn))
	time.Sleep(applyTime + time.Second)
	late := c.daemons[0]
	if c.send(late, "/read/1", withdrawn).status != 200 {
		return false, errors.New("the key is not accepted at first")
	}
	began := time.Now()
	if c.trouble {
		late.turnedAway.Store(true)
		c.rec.note("the store turns %s away", late.name)
	}
	for version := range stormVersions - 1 {
		c.store.Put(simul.ConfigKey, bigConfig(3+version, withdrawn))
		time.Sleep(stormPause)
	}
	last := bigConfig(2 + stormVersions)
	c.store.Put(simul.ConfigKey, last)
	taken := time.Now()
	c.rec.note("version %d, without %s, is acknowledged; it has %d bytes", 2+stormVersions, withdrawn, len(last))
	time.Sleep(time.Until(began.Add(turnedAwayFor)))
	late.turnedAway.Store(false)
	c.rec.note("the store serves %s again", late.name)
	sent := c.load("/read/1", withdrawn, 100*time.Millisecond, taken.Add(15*time.Second))
	wrong := 0
	for _, s := range sent {
		if r, _ := c.ran(s); r != nil && s.sent.Sub(taken) > revokeTime {
			wrong++
			c.rec.note("%s, sent to %s %v after the key was taken away, ran at %s", s.id, s.daemon, s.sent.Sub(taken).Round(time.Millisecond), r.id)
		}
	}
	c.rec.note("requests with the key: %d, of these run though sent later than %v after it was taken away: %d", len(sent), revokeTime, wrong)
	return wrong > 0, nil
}

// bigConfig returns a version of the configuration with many routes and further keys.
func bigConfig(version int, keys ...string) []byte {
	var config map[string]any
	if err := json.Unmarshal(simul.Config(version), &config); err != nil {
		panic(err) // it is one of ours
	}
	routes := config["routes"].([]any)
	for i := range stormRoutes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%07x", i), "host": simul.Host, "path_prefix": fmt.Sprintf("/lohu%d/", i), "type": "non_idempotent",
			"timeout_ms": 4000, "target_latency_ms": 300, "priority": 2, "backends": []any{
				map[string]any{"service": "plain", "weight": 90}, map[string]any{"service": "engines", "weight": 10},
			}, "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
		})
	}
	config["routes"] = routes
	tenants := config["tenants"].([]any)
	for i, key := range keys {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant-%d", i), "api_keys": []string{key}})
	}
	config["tenants"] = tenants
	var out bytes.Buffer
	if err := json.NewEncoder(&out).Encode(config); err != nil {
		panic(err)
	}
	return out.Bytes()
}
