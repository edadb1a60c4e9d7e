// Package stand runs the cases of the second review that are scripts: it starts daemons as
// processes, plays the platform's store, the servers, the operator and the clients itself, and
// checks one rule a case. The binary's exit status is 1 if the rule was broken, 0 if it held and
// 2 if the case couldn't run.
package stand

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

const (
	held   = 0
	broken = 1
	failed = 2
)

// scene is what all cases have: the processes and the stand-ins of a small deployment.
type scene struct {
	dir      string
	program  string
	trouble  bool
	store    *store
	storeAt  string
	record   *record
	daemons  []*daemon
	servers  []*plainServer
	services []string       // of which there are servers
	paths    *paths         // to the servers
	source   map[int]string // that connections of a daemon come from, by its number
	own      *access        // to the store, of the daemons with a source
}

var cases = map[string]func(*scene) (int, error){"last-keys": lastKeys, "power-loss": powerLoss.play, "new-machine": newMachine.play, "regress": regress}

// TestMain runs the case that the flags name in place of tests.
func TestMain(*testing.M) { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	program := flag.String("program", "target/chead", "the deployed program")
	flag.Parse()
	play, known := cases[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return failed
	}
	s := &scene{program: *program, trouble: os.Getenv("TROUBLE") != "0", store: newStore(), paths: newPaths(), services: []string{"returns-desk"}}
	var err error
	if s.record, err = newRecord(*out); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() {
		for _, d := range s.daemons {
			d.kill()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(s.dir)
		} else {
			fmt.Println("settings and logs are in", s.dir)
		}
	}()
	if s.program, err = filepath.Abs(*program); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	result, err := play(s)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		s.record.add("failed", "%v", err)
		return failed
	}
	return result
}

// build starts the store, n daemons in three zones and three servers of each service.
func (s *scene) build(n int) error {
	var err error
	if s.storeAt, err = freePort(); err != nil {
		return err
	}
	if err := s.store.serve(s.storeAt); err != nil {
		return err
	}
	if s.own, err = s.store.access(); err != nil {
		return err
	}
	zones := []string{"ashburton", "timaru", "rangiora"}
	for i, service := range s.services {
		for j, zone := range zones {
			if err := s.addServer(fmt.Sprintf("i-%d", 1000+len(zones)*i+j), service, zone); err != nil {
				return err
			}
		}
	}
	for i := range n {
		store := s.storeAt
		if s.source[i] != "" {
			store = s.own.address
		}
		d, err := newDaemon(s.program, s.dir, fmt.Sprintf("edge-%s-%d", zones[i%3], i/3+1), zones[i%3], store, s.source[i], s.record)
		if err != nil {
			return err
		}
		s.daemons = append(s.daemons, d)
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

// addServer starts a server and writes its entry.
func (s *scene) addServer(id, service, zone string) error {
	address, err := freePort()
	if err != nil {
		return err
	}
	p := &plainServer{id: id, service: service, address: address, zone: zone, record: s.record, paths: s.paths}
	if err := p.serve(); err != nil {
		return err
	}
	s.servers = append(s.servers, p)
	s.publish(p)
	return nil
}

// publish writes a server's entry.
func (s *scene) publish(p *plainServer) { s.store.put("servers/"+p.id, p.entry("ready")) }
