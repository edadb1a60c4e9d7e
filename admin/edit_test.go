package admin_test

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/admin"
	"clementinehead.example/chead/audit"
	"clementinehead.example/chead/fakes"
)

const (
	domains  = `{"north": {"region": "r"}}`
	capacity = `{"loads": 2}`
)

// TestConcurrentEdits checks that two concurrent edits of different sections are
// both accepted, and that a later edit on an old base of one of them is refused
// with the edit that it conflicts with.
func TestConcurrentEdits(t *testing.T) {
	withSystem(t, 3, func(t *testing.T, s *system) {
		is := is.New(t)
		var first, second outcome
		var group sync.WaitGroup
		group.Go(func() { first = s.daemons[0].put("a", 0, "domains", domains) })
		group.Go(func() { second = s.daemons[1].put("b", 0, "capacity", capacity) })
		group.Wait()
		is.Equal(first.status, http.StatusOK)
		is.Equal(second.status, http.StatusOK)
		is.Equal(len(first.accepted.Unconfirmed)+len(second.accepted.Unconfirmed), 0)
		stored := s.stored()
		is.Equal(stored.Document.Capacity.Loads, 2)
		is.Equal(stored.Document.Domains["north"].Region, "r")
		is.Equal(len(s.behind(2)), 0)

		late := s.daemons[2].put("c", 0, "capacity", `{"loads": 3}`)
		is.Equal(late.status, http.StatusConflict)
		is.Equal(late.refusal.Ran, "no")
		is.Equal(late.refusal.Section, "capacity")
		is.Equal(late.refusal.Conflict.ID, "b")
		is.Equal(late.refusal.Conflict.Who, "team capacity")
		is.Equal(late.refusal.Conflict.Serial, second.accepted.Serial)
	})
}

// TestEditUnderFaults sends one edit through daemon 0 during a fault, repairs the
// fault and checks that the response agrees with what the store contains.
func TestEditUnderFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *system)
		code  string // of the refusal, empty if the edit is accepted
		ran   string
		runs  int // number of times that the store contains the edit after the repair
	}{
		{"none", func(*system) {}, "", "", 1},
		{"answer lost", func(s *system) { s.store.LoseAnswers(1) }, "", "", 1},
		{"three answers lost", func(s *system) { s.store.LoseAnswers(3) }, "", "", 1},
		{"store down", func(s *system) { s.store.Down(true) }, "unavailable", "no", 0},
		{"store silent", func(s *system) { s.store.Hang(true) }, "unavailable", "no", 0},
		{"store slow", func(s *system) { s.store.Delay(300 * time.Millisecond) }, "", "", 1},
		{"store back after a second", func(s *system) {
			s.store.Down(true)
			time.AfterFunc(time.Second, func() { s.store.Down(false) })
		}, "", "", 1},
		{"connections to the store silent", func(s *system) { s.network.Silence("d0", storeHost) }, "", "", 1},
		{"connections between daemons silent", func(s *system) { s.network.Silence(fakes.AnyHost, fakes.AnyHost) }, "", "", 1},
		{"daemon cut off from the store", func(s *system) { s.network.Cut("d0", storeHost) }, "unavailable", "no", 0},
		{"store down after an answer was lost", func(s *system) {
			s.store.LoseAnswers(1)
			s.onWrite = func() { s.store.Down(true) }
		}, "unsettled", "unknown", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withSystem(t, 4, func(t *testing.T, s *system) {
				is := is.New(t)
				test.fault(s)
				o := s.daemons[0].put("a", 0, "domains", domains)
				s.onWrite = func() {}
				s.store.Delay(0)
				if test.code == "" {
					is.Equal(o.status, http.StatusOK)
					is.Equal(len(o.accepted.Unconfirmed), 0)
					is.Equal(len(s.behind(1)), 0) // a confirmed edit is in force
				} else {
					is.Equal(o.refusal.Code, test.code)
					is.Equal(o.refusal.Ran, test.ran)
				}
				s.repair()
				time.Sleep(convergence)
				is.Equal(count(s.ids(), "a"), test.runs)
				is.Equal(len(s.behind(uint64(test.runs))), 0)

				settled := s.daemons[1].send(http.MethodGet, "edits/a", nil)
				is.Equal(settled.status == http.StatusOK, test.runs == 1)
				resent := s.daemons[2].put("a", 0, "domains", domains)
				is.Equal(resent.status, http.StatusOK)
				is.Equal(resent.accepted.Serial, uint64(1))
				is.Equal(count(s.ids(), "a"), 1)
				is.Equal(len(s.reverted), 0)
			})
		})
	}
}

func TestAnswerListsUnconfirmedDaemons(t *testing.T) {
	withSystem(t, 4, func(t *testing.T, s *system) {
		is := is.New(t)
		s.network.Cut("d3", fakes.AnyHost)
		o := s.daemons[0].put("a", 0, "domains", domains)
		is.Equal(o.status, http.StatusOK)
		is.Equal(o.accepted.Unconfirmed, []string{"d3"})
		s.network.Heal("d3", fakes.AnyHost)
		time.Sleep(convergence)
		o = s.daemons[0].send(http.MethodGet, "edits/a", nil)
		is.Equal(o.accepted.Unconfirmed, []string{})
		is.Equal(o.accepted.Serial, uint64(1))
	})
}

// TestResendAfterLaterEdit sends an accepted edit again after another team has
// changed the same section. The response must still be that it was accepted.
func TestResendAfterLaterEdit(t *testing.T) {
	withSystem(t, 3, func(t *testing.T, s *system) {
		is := is.New(t)
		s.store.LoseAnswers(1)
		is.Equal(s.daemons[0].put("a", 0, "capacity", capacity).status, http.StatusOK)
		is.Equal(s.daemons[1].put("b", 1, "capacity", `{"loads": 3}`).status, http.StatusOK)
		o := s.daemons[2].put("a", 0, "capacity", capacity)
		is.Equal(o.status, http.StatusOK)
		is.Equal(o.accepted.Serial, uint64(1))
		is.Equal(s.stored().Document.Capacity.Loads, 3)
		is.Equal(s.ids(), []string{"a", "b"})
	})
}

// TestAcceptingDaemonDies kills the daemon that accepted an edit right after the
// store has written it. The edit must still come into force, be reported as
// accepted when the operator sends it again, and be in the audit log.
func TestAcceptingDaemonDies(t *testing.T) {
	withSystem(t, 4, func(t *testing.T, s *system) {
		is := is.New(t)
		s.onWrite = func() {
			s.network.Kill("d0")
			s.network.Cut("d0", fakes.AnyHost)
		}
		is.Equal(s.daemons[0].put("a", 0, "domains", domains).status, 0) // no answer
		s.onWrite = func() {}
		time.Sleep(convergence)
		is.Equal(s.behind(1), []string(nil))
		entries := s.daemons[2].auditOfDay()
		is.Equal(len(entries), 1)
		is.Equal(entries[0].Who, "team domains")
		o := s.daemons[1].put("a", 0, "domains", domains)
		is.Equal(o.accepted.Serial, uint64(1))
		is.Equal(o.accepted.Unconfirmed, []string{"d0"})
		is.Equal(s.ids(), []string{"a"})
	})
}

// TestMissedRevision isolates a daemon while an edit is distributed, and then
// reconnects it to its peers but not to the store.
func TestMissedRevision(t *testing.T) {
	withSystem(t, 4, func(t *testing.T, s *system) {
		is := is.New(t)
		d := s.daemons[3]
		s.network.Cut(d.host, fakes.AnyHost)
		s.network.Cut(d.host, storeHost)
		is.Equal(s.daemons[0].put("a", 0, "domains", domains).status, http.StatusOK)
		time.Sleep(time.Minute)
		s.network.Heal(d.host, fakes.AnyHost)
		time.Sleep(convergence)
		is.Equal(len(s.behind(1)), 0)
		is.True(time.Since(d.relay.VerifiedAt()) < convergence) // confirmed through its peers
	})
}

// TestConfirmationAge checks whether the last confirmation of the configuration
// by the store is younger than 15 s at all daemons, 30 s after a fault began and
// again after its repair.
func TestConfirmationAge(t *testing.T) {
	tests := []struct {
		name   string
		fault  func(s *system)
		fresh  bool
		repair func(s *system)
	}{
		{"none", func(*system) {}, true, func(*system) {}},
		{"store down", func(s *system) { s.store.Down(true) }, false, func(s *system) { s.store.Down(false) }},
		{"store silent", func(s *system) { s.store.Hang(true) }, false, func(s *system) { s.store.Hang(false) }},
		{"connections to the store silent", func(s *system) { s.network.Silence(storeHost, fakes.AnyHost) }, true, func(*system) {}},
		{"history compacted", func(s *system) { s.store.Compact() }, true, func(*system) {}},
		{"one cut off from the store", func(s *system) { s.network.Cut("d0", storeHost) }, true, func(*system) {}},
		{"relays killed", func(s *system) {
			for _, d := range s.daemons[:3] {
				d.kill()
			}
		}, true, func(*system) {}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withSystem(t, 9, func(t *testing.T, s *system) {
				is := is.New(t)
				is.Equal(s.daemons[0].put("a", 0, "domains", domains).status, http.StatusOK)
				test.fault(s)
				time.Sleep(30 * time.Second)
				is.Equal(s.oldestConfirmation() < 15*time.Second, test.fresh)
				test.repair(s)
				time.Sleep(convergence)
				is.True(s.oldestConfirmation() < 15*time.Second)
			})
		})
	}
}

// TestStartDuringOutage restarts a daemon while the store is down. It must get
// the last accepted document from its peers and not be ready before that.
func TestStartDuringOutage(t *testing.T) {
	withSystem(t, 4, func(t *testing.T, s *system) {
		is := is.New(t)
		is.Equal(s.daemons[0].put("a", 0, "domains", domains).status, http.StatusOK)
		s.store.Down(true)
		d := s.daemons[2]
		d.kill()
		s.network.Cut(d.host, fakes.AnyHost)
		d.start()
		time.Sleep(10 * time.Second)
		is.True(!d.relay.Ready()) // neither the store nor a peer has responded
		is.Equal(d.relay.View().Serial, uint64(0))
		s.network.Heal(d.host, fakes.AnyHost)
		time.Sleep(convergence)
		is.True(d.relay.Ready())
		is.Equal(d.relay.View().Serial, uint64(1))
	})
}

func TestDrainAndRestore(t *testing.T) {
	withSystem(t, 3, func(t *testing.T, s *system) {
		is := is.New(t)
		d := s.daemons[0]
		is.Equal(d.put("a", 0, "domains", domains).status, http.StatusOK)
		tests := []struct {
			path      string
			move      admin.ServiceChange
			status    int
			serial    uint64
			inService bool // the domain and the instance are in service afterwards
			changed   bool
		}{
			{"drain", admin.ServiceChange{ID: "b", Who: "w", Domain: "north"}, 200, 2, false, true},
			{"drain", admin.ServiceChange{ID: "b", Who: "w", Domain: "north"}, 200, 2, false, true}, // sent again
			{"drain", admin.ServiceChange{ID: "c", Who: "w", Domain: "north"}, 200, 2, false, false},
			{"restore", admin.ServiceChange{ID: "d", Who: "w", Domain: "north"}, 200, 3, true, true},
			{"drain", admin.ServiceChange{ID: "b", Who: "w", Domain: "north"}, 200, 2, true, true}, // sent late
			{"drain", admin.ServiceChange{ID: "e", Who: "w", Instance: "i-1"}, 200, 4, false, true},
			{"restore", admin.ServiceChange{ID: "f", Who: "w", Instance: "i-1"}, 200, 5, true, true},
			{"drain", admin.ServiceChange{ID: "g", Who: "w", Domain: "south"}, 404, 0, true, false},
			{"drain", admin.ServiceChange{ID: "h", Who: "w"}, 400, 0, true, false},
		}
		for _, test := range tests {
			o := d.send(http.MethodPost, test.path, test.move)
			is.Equal(o.status, test.status)
			is.Equal(o.accepted.Serial, test.serial)
			is.Equal(s.daemons[1].relay.View().InService("north", "i-1"), test.inService)
			is.Equal(o.accepted.Unchanged, !test.changed && test.status == 200)
		}

		// After another team has changed the section, resending the earlier
		// drain must return the drain that was accepted.
		is.Equal(d.put("x", 5, "domains", `{"north": {"region": "r"}, "south": {"region": "r"}}`).status, http.StatusOK)
		o := d.send(http.MethodPost, "drain", admin.ServiceChange{ID: "b", Who: "w", Domain: "north"})
		is.Equal(o.status, http.StatusOK)
		is.Equal(o.accepted.Serial, uint64(2))
		is.True(!s.stored().Document.Domains["north"].Out)
	})
}

func TestAuditOfEdits(t *testing.T) {
	withSystem(t, 3, func(t *testing.T, s *system) {
		is := is.New(t)
		s.daemons[0].put("a", 0, "domains", domains)
		s.daemons[1].send(http.MethodPost, "drain", admin.ServiceChange{ID: "b", Who: "w", Cause: "storm", Domain: "north"})
		time.Sleep(3 * time.Second)
		entries, err := s.daemons[2].audit.Read(t.Context(), time.Now().Add(-time.Hour), time.Now())
		is.NoErr(err)
		is.Equal(len(entries), 2)
		drain := entries[1]
		is.Equal(drain.Action, "drain")
		is.Equal(drain.Who, "w")
		is.Equal(drain.Cause, "storm")
		is.Equal(string(drain.Before), `{"north":{"region":"r"}}`)
		is.Equal(string(drain.After), `{"north":{"region":"r","out":true}}`)
		is.True(slices.IsSortedFunc(entries, func(a, b audit.Entry) int { return a.At.Compare(b.At) }))
	})
}
