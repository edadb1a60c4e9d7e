package gate

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/wire"
)

// ward is a number of replicas, each with a gate of its own daemon, to which
// requests come of which one crashes every endpoint that runs it.
type ward struct {
	now     time.Time
	cores   []*Core
	running []map[*patient]uint64 // permits in use by replica
	boots   []uint64
	crashes int
}

// patient is a request of the model.
type patient struct {
	print   uint64
	crashes []string // as its entry was told
	served  bool
	refused bool
	fatal   bool
}

func newWard(replicas int) *ward {
	w := &ward{now: time.Unix(1000, 0)}
	for i := range replicas {
		setup := w.setup(i, 7)
		w.cores = append(w.cores, openCore(w.now, setup, 100))
		w.running = append(w.running, map[*patient]uint64{})
		w.boots = append(w.boots, 7)
	}
	return w
}

func (w *ward) setup(replica int, boot uint64) Setup {
	setup := testSetup(conf.Ramp{Start: 4, Step: 1, Full: 8}, nil)
	setup.Replica.ID = fmt.Sprintf("r%d", replica)
	setup.Replica.Members[0].Boot = boot
	return setup
}

// try asks a replica to run a request. It returns false when the gate has it
// come back later.
func (w *ward) try(replica int, p *patient) bool {
	core := w.cores[replica]
	id, answers := core.Ask(w.now, &wire.AcquireRequest{
		Account: "a", Fingerprint: p.print, Crashes: p.crashes, Tokens: 1, Wait: durationpb.New(time.Second),
	})
	core.Abandon(id)
	for _, answer := range answers {
		if answer.Ask != id {
			continue
		}
		switch answer.Response.Verdict {
		case wire.Verdict_VERDICT_GRANTED:
			w.running[replica][p] = answer.Response.Permit
			return true
		case wire.Verdict_VERDICT_SUSPECT:
			p.refused = true
			return true
		}
	}
	return false
}

// pass ends what runs at a replica: with a fatal request in the batch by a
// crash of the endpoint, otherwise well.
func (w *ward) pass(replica int) {
	ending := wire.Ending_ENDING_COMPLETE
	for p := range w.running[replica] {
		if p.fatal {
			ending = wire.Ending_ENDING_CRASHED
		}
	}
	for p, permit := range w.running[replica] {
		p.served = ending == wire.Ending_ENDING_COMPLETE
		response, _ := w.cores[replica].Release(w.now, &wire.ReleaseRequest{Permit: permit, Ending: ending})
		p.crashes = append(p.crashes, response.Crashes...)
	}
	clear(w.running[replica])
	if ending == wire.Ending_ENDING_CRASHED {
		w.crash(replica)
	}
}

// crash starts an endpoint again and lets the peers hear of the strikes.
func (w *ward) crash(replica int) {
	w.crashes++
	w.boots[replica]++
	news := w.cores[replica].book.News()
	for _, core := range w.cores {
		for _, strike := range news {
			core.book.Hear(strike)
		}
	}
	for range 10 {
		w.now = w.now.Add(ProbeEvery)
		w.refresh()
	}
}

// TestCrasher proves that a request which crashes endpoints costs two of them
// at most, whichever gates it comes to, also when its caller sends it again as
// a new request, and that its neighbours are served.
func TestCrasher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const replicas = 3
		w := newWard(replicas)
		crasher := &patient{print: 1, fatal: true}
		patients := []*patient{crasher}
		for i := range rapid.IntRange(1, 12).Draw(t, "neighbours") {
			patients = append(patients, &patient{print: uint64(i + 2)})
		}
		for range 400 {
			p := patients[rapid.IntRange(0, len(patients)-1).Draw(t, "patient")]
			replica := rapid.IntRange(0, replicas-1).Draw(t, "replica")
			if p == crasher && rapid.Bool().Draw(t, "again") {
				p.refused, p.crashes = false, nil
			}
			if !p.served && !p.refused && !w.runs(p) {
				w.try(replica, p)
			}
			if rapid.IntRange(0, 3).Draw(t, "pass") == 0 {
				w.pass(replica)
			}
			w.now = w.now.Add(10 * time.Millisecond)
			w.refresh()
		}
		w.settle(patients)
		w.judge(t, patients)
	})
}

func (w *ward) runs(p *patient) bool {
	for _, running := range w.running {
		if _, ok := running[p]; ok {
			return true
		}
	}
	return false
}

// refresh keeps the gates' views and probes young.
func (w *ward) refresh() {
	for i, core := range w.cores {
		core.Set(w.now, w.setup(i, w.boots[i]))
		report := ready(0)
		report.Boot = w.boots[i]
		core.Probe(w.now, w.now, "i:1", report)
	}
}

// settle tries everything again until it has its answer.
func (w *ward) settle(patients []*patient) {
	for range 50 {
		for _, p := range patients {
			for i := range w.cores {
				w.pass(i)
				if !p.served && !p.refused && !w.runs(p) {
					w.try(i, p)
				}
			}
		}
		w.now = w.now.Add(time.Second / 2)
		w.refresh()
	}
}

func (w *ward) judge(t *rapid.T, patients []*patient) {
	if w.crashes > maxStrikes {
		t.Fatalf("%d endpoints crashed", w.crashes)
	}
	for _, p := range patients {
		if !p.fatal && !p.served {
			t.Fatalf("neighbour %d was not served, refused %v", p.print, p.refused)
		}
		if p.fatal && p.served {
			t.Fatal("the crasher was served")
		}
	}
}

func TestBook(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	b.Strike(1, "r/1")
	b.Strike(1, "r/1") // the same crash counts once
	is.True(b.Suspect(1))
	is.True(!b.Convicted(1))
	is.Equal(len(b.News()), 1)
	is.True(b.Add(1, "r/2"))
	is.True(b.Convicted(1))
	is.Equal(len(b.News()), 0) // what a peer told is not told on
	is.True(!b.Add(0, "r/1"))  // no fingerprint
	b.Clear(1)
	is.True(b.Convicted(1)) // for good
	b.Strike(2, "r/2")
	b.Clear(2) // it was answered
	b.Strike(2, "r/9")
	is.True(!b.Convicted(2))
	peer := NewBook()
	for _, news := range b.News() {
		peer.Hear(news)
	}
	is.Equal(peer.Crashes(2), []string{"r/9"})
	for i := range maxSuspects {
		b.Add(uint64(i+10), "r/1")
	}
	is.Equal(len(b.crashes), maxSuspects)
	is.True(!b.Suspect(1)) // the oldest was forgotten
}
