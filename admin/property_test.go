package admin_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/prop"
)

func TestMain(m *testing.M) { prop.Main(m.Run, prop.Properties{Seed: "22", Checks: "20"}) }

// systemSize is the number of daemons in the simulated system.
const systemSize = 5

// step is one event in a simulation: an edit or a fault.
type step struct {
	Kind   string
	Daemon int           // index of the affected daemon
	Count  int           // number of lost responses, or of serials by which the base of an edit is old
	Wait   time.Duration // before the next step
}

var kinds = []string{
	"edit", "edit", "edit", "edit", "resend", "kill", "start", "cut", "cut from store", "heal",
	"silence", "store down", "store up", "store silent", "lose answers",
}

func drawStep(t *rapid.T) step {
	return step{
		Kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
		Daemon: rapid.IntRange(0, systemSize-1).Draw(t, "daemon"),
		Count:  rapid.IntRange(0, 2).Draw(t, "count"),
		Wait:   time.Duration(rapid.IntRange(0, 6000).Draw(t, "wait")) * time.Millisecond,
	}
}

// sentEdit is an edit that an operator sent, with the response.
type sentEdit struct {
	id, section, content string
	base                 uint64
	outcome              outcome
}

// simulation runs the steps of one script.
type simulation struct {
	system  *system
	mu      sync.Mutex
	edits   []*sentEdit
	pending sync.WaitGroup
}

// TestEditsProperty runs random scripts of faults and concurrent edits, and
// repairs all faults at the end. Within the time convergence, all daemons must have
// the configuration that is then in the store. Every accepted edit must be in the
// store exactly once; only an edit that was answered Unchanged may be missing, as
// it changed nothing. An edit that was sent once and refused as not run must not be
// in the store; this is not checked for edits that were sent again. The serial must
// never have decreased at any daemon.
func TestEditsProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(drawStep), 1, 25).Draw(rt, "script")
		var faults []string
		withSystem(t, systemSize, func(_ *testing.T, s *system) {
			r := &simulation{system: s}
			for _, step := range script {
				r.do(step)
				time.Sleep(step.Wait)
			}
			faults = r.check()
		})
		for _, fault := range faults {
			rt.Error(fault)
		}
	})
}

func (r *simulation) do(step step) {
	s, d := r.system, r.system.daemons[step.Daemon]
	switch step.Kind {
	case "edit":
		r.edit(d, step.Count)
	case "resend":
		r.resend(d)
	case "kill":
		d.kill()
	case "start":
		if !d.alive {
			d.start()
		}
	case "cut":
		s.network.Cut(d.host, fakes.AnyHost)
	case "cut from store":
		s.network.Cut(d.host, storeHost)
	case "heal":
		s.network.Heal(d.host, fakes.AnyHost)
		s.network.Heal(d.host, storeHost)
	case "silence":
		s.network.Silence(d.host, fakes.AnyHost)
	case "store down":
		s.store.Down(true)
	case "store up":
		s.store.Down(false)
		s.store.Hang(false)
	case "store silent":
		s.store.Hang(true)
	case "lose answers":
		s.store.LoseAnswers(step.Count)
	}
}

// edit sends a new edit without waiting for the response. Its base is age
// serials old.
func (r *simulation) edit(d *daemon, age int) {
	if !d.alive {
		return
	}
	serial := d.relay.View().Serial
	base := serial - min(serial, uint64(age))
	r.mu.Lock()
	n := len(r.edits) + 1
	e := &sentEdit{id: fmt.Sprint("e", n), section: "capacity", content: fmt.Sprintf(`{"loads": %d}`, n), base: base}
	if n%2 == 0 {
		e.section, e.content = "limits", fmt.Sprintf(`{"queue": %d}`, n)
	}
	r.edits = append(r.edits, e)
	r.mu.Unlock()
	r.pending.Go(func() { e.outcome = d.put(e.id, e.base, e.section, e.content) })
}

// resend sends the last edit again, through the given daemon.
func (r *simulation) resend(d *daemon) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.edits) == 0 || !d.alive {
		return
	}
	last := r.edits[len(r.edits)-1]
	e := &sentEdit{id: last.id, section: last.section, content: last.content, base: last.base}
	r.edits = append(r.edits, e)
	r.pending.Go(func() { e.outcome = d.put(e.id, e.base, e.section, e.content) })
}

// check repairs all faults and returns the violated conditions.
func (r *simulation) check() []string {
	s := r.system
	r.pending.Wait()
	s.repair()
	for _, d := range s.daemons {
		if !d.alive {
			d.start()
		}
	}
	time.Sleep(convergence)
	var faults []string
	stored := s.stored()
	if behind := s.behind(stored.Serial); len(behind) > 0 {
		faults = append(faults, fmt.Sprintf("serial %d is not in force at %v after %v", stored.Serial, behind, convergence))
	}
	for _, reverted := range s.reverted {
		faults = append(faults, "went back: "+reverted)
	}
	return append(faults, r.checkEdits(s.ids())...)
}

func (r *simulation) checkEdits(ids []string) []string {
	var faults []string
	accepted := map[string]bool{}
	for _, e := range r.edits {
		accepted[e.id] = accepted[e.id] || e.outcome.status == http.StatusOK
	}
	for _, e := range r.edits {
		n := count(ids, e.id)
		switch {
		case n > 1:
			faults = append(faults, fmt.Sprintf("%s was applied %d times", e.id, n))
		case n == 0 && accepted[e.id] && !e.outcome.accepted.Unchanged:
			faults = append(faults, e.id+" was accepted and is lost")
		case n == 1 && !accepted[e.id] && e.outcome.refusal.Ran == "no" && r.sentOnce(e.id):
			faults = append(faults, e.id+" was refused as not run and is in force")
		}
	}
	return faults
}

func (r *simulation) sentOnce(id string) bool {
	n := 0
	for _, e := range r.edits {
		if e.id == id {
			n++
		}
	}
	return n == 1
}
