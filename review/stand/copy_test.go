//go:build review

package stand

import (
	"errors"
	"time"

	"clementinehead.example/chead/simul"
)

// olderCopy takes a key away while the store turns one daemon away. The store then comes
// back from a copy of before, as that daemon reaches it again, and the operator writes the
// configuration again two seconds later.
func olderCopy(c *cluster) (bool, error) {
	const revoked = "key-1" // of the first configuration alone
	for _, d := range c.daemons {
		if c.send(d, "/read/1", revoked).status != 200 {
			return false, errors.New("the key is not accepted at first")
		}
	}
	cut := c.daemons[0]
	before := c.store.Copy()
	if c.trouble {
		cut.turnedAway.Store(true)
		c.rec.note("the store turns %s away; a copy of the store is taken", cut.name)
	}
	time.Sleep(time.Second)
	c.store.Put(simul.ConfigKey, simul.Config(2))
	taken := time.Now()
	c.rec.note("version 2, without %s, is acknowledged", revoked)
	time.Sleep(3500 * time.Millisecond)
	if c.trouble {
		c.store.SetDown(true)
		c.rec.note("the store is away")
	}
	time.Sleep(time.Second)
	if c.trouble {
		c.store.Restore(before)
		c.store.SetDown(false)
		cut.turnedAway.Store(false)
		for _, r := range c.runners {
			r.beat()
		}
		c.rec.note("the store is back from the copy, for all daemons")
	}
	writtenAgain := time.AfterFunc(2*time.Second, func() {
		c.store.Put(simul.ConfigKey, simul.Config(2))
		c.rec.note("version 2 is written again")
	})
	defer writtenAgain.Stop()
	sent := c.load("/read/1", revoked, 50*time.Millisecond, taken.Add(9*time.Second))
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
