//go:build review

package stand

import (
	"encoding/json"
	"errors"
	"time"
)

// otherWriter lets another writer overwrite the entry of a runner that drains by one that
// lacks fields.
func otherWriter(c *cluster) (bool, error) {
	leaving := c.runners[0]
	for _, d := range c.daemons {
		if c.send(d, "/read/1", "good-key").status != 200 {
			return false, errors.New("requests are not served at first")
		}
	}
	acknowledged := leaving.drain()
	c.rec.note("%s drains, which the store has acknowledged", leaving.id)
	go func() {
		time.Sleep(heartbeat + 100*time.Millisecond)
		if !c.trouble {
			return
		}
		entry, _ := json.Marshal(map[string]any{"service": "plain", "address": leaving.address, "zone": leaving.zone, "state": "ready"}) // its types can be encoded
		c.store.Put("servers/"+leaving.id, entry)
		c.rec.note("another writer writes the entry of %s: %s", leaving.id, entry)
	}()
	sent := c.load("/read/1", "good-key", 30*time.Millisecond, acknowledged.Add(6*time.Second))
	wrong := 0
	for _, s := range sent {
		if r, at := c.ran(s); r == leaving && at.Sub(acknowledged) > drainTime {
			wrong++
			c.rec.note("%s, sent to %s, reached %s %v after its drain was acknowledged", s.id, s.daemon, r.id, at.Sub(acknowledged).Round(time.Millisecond))
		}
	}
	c.rec.note("requests: %d, of these at %s later than %v after its drain was acknowledged: %d", len(sent), leaving.id, drainTime, wrong)
	return wrong > 0, nil
}
