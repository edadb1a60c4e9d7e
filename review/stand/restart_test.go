//go:build review

package stand

import (
	"errors"
	"time"
)

// restart empties a zone. A daemon is killed and starts again while the store is away, which
// then comes back from a copy that doesn't say that the zone is empty. The operator writes it
// again two seconds later.
func restart(c *cluster) (bool, error) {
	emptied := c.runners[1]
	const path = "/read/1"
	for _, d := range c.daemons {
		if c.send(d, path, "good-key").status != 200 {
			return false, errors.New("requests are not served at first")
		}
	}
	key := "op/evacuate/" + emptied.zone
	before := c.store.Copy()
	time.Sleep(500 * time.Millisecond)
	c.store.Put(key, []byte("{}"))
	acknowledged := time.Now()
	c.rec.note("the evacuation of %s is acknowledged", emptied.zone)
	again := c.daemons[2]
	time.Sleep(3500 * time.Millisecond)
	if c.trouble {
		again.kill()
		c.rec.note("%s is killed", again.name)
		time.Sleep(500 * time.Millisecond)
		c.silent.Store(true)
		c.rec.note("the store is away, and answers nothing")
		time.Sleep(1200 * time.Millisecond)
		c.store.Restore(before)
		c.silent.Store(false)
		if err := again.start(); err != nil {
			return false, err
		}
		c.rec.note("%s starts again", again.name)
		for _, r := range c.runners {
			r.beat()
		}
		c.rec.note("the store is back from the copy, for all daemons")
	}
	writtenAgain := time.AfterFunc(2*time.Second, func() {
		c.store.Put(key, []byte("{}"))
		c.rec.note("the evacuation of %s is written again", emptied.zone)
	})
	defer writtenAgain.Stop()
	sent := c.load(path, "good-key", 30*time.Millisecond, acknowledged.Add(10*time.Second))
	wrong := 0
	for _, s := range sent {
		if r, at := c.ran(s); r == emptied && at.Sub(acknowledged) > evacuateTime {
			wrong++
			c.rec.note("%s, sent to %s, reached %s %v after the evacuation was acknowledged", s.id, s.daemon, r.id, at.Sub(acknowledged).Round(time.Millisecond))
		}
	}
	c.rec.note("requests: %d, of these at %s later than %v after the evacuation was acknowledged: %d", len(sent), emptied.id, evacuateTime, wrong)
	return wrong > 0, nil
}
