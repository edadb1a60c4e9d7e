//go:build review

package stand

import (
	"errors"
	"time"

	"clementinehead.example/chead/simul"
)

// storm changes the configuration in quick succession. The last change takes a key away. It
// checks that no request with this key runs that was sent later than applyTime after that.
func storm(c *cluster) (bool, error) {
	const withdrawn = "old-key"
	c.store.Put(simul.ConfigKey, bigConfig(2, withdrawn))
	time.Sleep(applyTime + time.Second)
	for _, d := range c.daemons {
		if c.send(d, "/read/1", withdrawn).status != 200 {
			return false, errors.New("the key is not accepted at first")
		}
	}
	if c.trouble {
		c.rec.note("the configuration begins to change each %v", stormPause)
		for version := range stormVersions - 1 {
			c.store.Put(simul.ConfigKey, bigConfig(3+version, withdrawn))
			time.Sleep(stormPause)
		}
	}
	last := bigConfig(2 + stormVersions)
	c.store.Put(simul.ConfigKey, last)
	taken := time.Now()
	c.rec.note("version %d, without %s, is acknowledged; it has %d bytes", 2+stormVersions, withdrawn, len(last))
	sent := c.load("/read/1", withdrawn, 50*time.Millisecond, taken.Add(10*time.Second))
	wrong := 0
	for _, s := range sent {
		if r, _ := c.ran(s); r != nil && s.sent.Sub(taken) > applyTime {
			wrong++
			c.rec.note("%s, sent to %s %v after the key was taken away, ran at %s", s.id, s.daemon, s.sent.Sub(taken).Round(time.Millisecond), r.id)
		}
	}
	c.rec.note("requests with the key: %d, of these run though sent later than %v after it was taken away: %d", len(sent), applyTime, wrong)
	return wrong > 0, nil
}
