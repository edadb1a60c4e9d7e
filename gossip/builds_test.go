package gossip

import (
	"bytes"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"clementinehead.example/chead/forms"
	"clementinehead.example/chead/site"
)

// record is not called update: what an old build wrote must not be rewritten by a later one.
var record = flag.String("record", "", "write the golden messages of this build to testdata, in a directory of this name")

// sampleMessages returns messages of each kind that a daemon sends, made by the code that
// makes them in a daemon.
func sampleMessages() map[string]Message {
	follower := Message{
		From:  site.Daemon{ID: "d2.k", Domain: "north", Region: "r", Caller: "10.0.0.2:80", Peer: "10.0.0.2:81", Cores: 1.5},
		Relay: "d1.k", Ready: true, Fresh: true, Cut: true, Revision: 41, Version: 7, Term: 3,
		Endpoints: map[string]EndpointLoad{
			"e1": {Running: 2, UnreadTokens: 900, Leaving: 1700000000001, Slow: true, Stalled: true},
			"e2": {Running: 1, Sent: 5, Limit: Limit{Started: 1700000000002, Rate: 2.5, Age: 120}},
			"e3": {Limit: Limit{Started: 1700000000003, Ended: true, Age: 9}},
		},
		Demand: map[string]int{"s/m": 4}, Queues: map[string]Queue{"s/m": {InTime: 2, Late: 1, FreeRate: 0.5, ArrivalRate: 1.25}},
		Crashes: map[string]int{"digest": 2}, Parts: map[string]PromptPart{"ab": {Crashes: 4, Survived: 1, Refused: 30}},
	}
	own := Message{
		From:  site.Daemon{ID: "d1.k", Domain: "north", Caller: "10.0.0.1:80", Peer: "10.0.0.1:81", Cores: 4},
		Ready: true, Fresh: true, Revision: 42, Version: 8, Term: 4,
		Endpoints: map[string]EndpointLoad{"e1": {Running: 1}, "e2": {Running: 3, Sent: 2}},
		Demand:    map[string]int{"s/m": 1}, Groups: map[string]Group{"e1": {Name: "g1", Epoch: 5, Model: "m", Open: true}},
	}
	g := New(Options{Self: own.From, Boot: func() time.Duration { return time.Minute }, Receive: func(Message) {}, Log: logr.Discard()})
	g.handle(follower)
	part, all := g.sums(own)
	large := all
	large.Groups = map[string]Group{}
	for i := range 150 {
		large.Groups[fmt.Sprintf("i-%03d", i)] = Group{Name: fmt.Sprintf("g%d", i), Epoch: int64(i), Model: "m", Open: i%2 == 0}
	}
	return map[string]Message{
		"follower": follower, "part-full": g.reduce(part, true), "all-reduced": g.reduce(all, false), "all-compressed": g.reduce(large, true),
	}
}

// oldData returns a file of the old build.
func oldData(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", oldBuild, name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Daemons of the old build and of this one read each other's messages with the same meaning.
// Where they didn't, an upgrade would show daemons no load at all, or another's.
func TestMessagesOfBothBuildsMeanTheSame(t *testing.T) {
	for name, m := range sampleMessages() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			if *record != "" {
				is.NoErr(os.MkdirAll(filepath.Join("testdata", *record), 0o755))
				is.NoErr(os.WriteFile(filepath.Join("testdata", *record, name), mustEncode(t, m), 0o644))
			}
			old := oldData(t, name)
			is.Equal(bytes.HasPrefix(old, gzipMagic), name == "all-compressed")
			is.Equal(mustDecode(t, old), mustDecode(t, mustEncode(t, m))) // this build reads the old one
			is.Equal(oldDecode(t, mustEncode(t, m)), oldDecode(t, old))   // the old one reads this build
			if m.Scope == Own {
				is.Equal(mustDecode(t, old), m)
			}
		})
	}
}

// A field that is gone, has another name or type, or is new and always there, breaks builds
// side by side.
func TestFieldsOfOldBuildStay(t *testing.T) {
	is := is.New(t)
	if *record != "" {
		is.NoErr(os.WriteFile(filepath.Join("testdata", *record, "fields"), []byte(strings.Join(forms.Fields(Message{}), "\n")+"\n"), 0o644))
	}
	for _, line := range forms.Unreadable(strings.Split(strings.TrimSpace(string(oldData(t, "fields"))), "\n"), Message{}) {
		t.Error(line)
	}
}

// Fields of a later build change nothing here, wherever they are.
func TestUnknownFieldsAreHarmless(t *testing.T) {
	for name := range sampleMessages() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data := plainJSON(t, oldData(t, name))
			later := data
			for _, first := range []string{`"from"`, `"id"`, `"running"`, `"soon"`, `"crashes"`, `"name"`, `"started"`} {
				later = bytes.ReplaceAll(later, []byte("{"+first), []byte(`{"unknown":{"a":[1,"b",null]},`+first))
			}
			is.True(bytes.Count(later, []byte("unknown")) > 4)
			is.Equal(mustDecode(t, later), mustDecode(t, data))
		})
	}
}

// filled returns a message with all fields that this build has.
func filled(scope Scope) Message {
	var m Message
	forms.Fill(&m)
	m.Scope = scope
	return m
}

// A sum of this build has all fields of the loads in it, and one that an old relay left out
// is not taken for zero: the sum with its message is that of the others.
func TestSumsKeepWhatOldBuildsDrop(t *testing.T) {
	is := is.New(t)
	own := filled(Own)
	old := throughOld(t, own)
	for name, messages := range map[string][]Message{"alone": {own}, "old one after it": {own, old}, "old one before it": {old, own}} {
		sum := emptySum(Message{})
		for _, m := range messages {
			sum.add(m)
		}
		for i := range reflect.TypeFor[Message]().NumField() {
			if v := reflect.ValueOf(sum).Field(i); v.Kind() == reflect.Map && v.Len() == 0 {
				t.Errorf("%s: Message.%s", name, reflect.TypeFor[Message]().Field(i).Name)
			}
		}
		for _, got := range missing(reflect.ValueOf(own.Endpoints["k"]), reflect.ValueOf(sum.Endpoints["k"]), reflect.ValueOf(old.Endpoints["k"])) {
			t.Errorf("%s: EndpointLoad.%s", name, got)
		}
		for _, got := range missing(reflect.ValueOf(own.Queues["k"]), reflect.ValueOf(sum.Queues["k"]), reflect.ValueOf(old.Queues["k"])) {
			t.Errorf("%s: Queue.%s", name, got)
		}
	}
	is.True(len(old.Endpoints) == 1)
}

// missing returns the fields of a load that are zero in a sum with it, or, if an old build
// doesn't have them, aren't as in the load.
func missing(own, sum, old reflect.Value) []string {
	var names []string
	for i := range own.NumField() {
		dropped := old.Field(i).IsZero()
		if sum.Field(i).IsZero() || dropped && !reflect.DeepEqual(own.Field(i).Interface(), sum.Field(i).Interface()) {
			names = append(names, own.Type().Field(i).Name)
		}
	}
	return names
}

// What an old relay drops of a daemon's own message isn't taken off again: counts would go
// below zero.
func TestOwnLoadIsNotTakenOffAnOldSum(t *testing.T) {
	is := is.New(t)
	own := filled(Own)
	sum := emptySum(Message{})
	sum.From, sum.Scope = own.From, All
	sum.add(own)
	rest := throughOld(t, sum).without(own)
	for _, path := range negative("Message", reflect.ValueOf(rest)) {
		t.Error(path, "is below zero")
	}
	is.Equal(rest.Endpoints["k"].Running, 0)
}

// negative returns the numbers below zero in a value.
func negative(path string, v reflect.Value) []string {
	var found []string
	switch {
	case v.CanInt() && v.Int() < 0, v.CanFloat() && v.Float() < 0:
		found = append(found, path)
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			found = append(found, negative(path+"."+v.Type().Field(i).Name, v.Field(i))...)
		}
	case v.Kind() == reflect.Map:
		for _, key := range v.MapKeys() {
			found = append(found, negative(path+"["+key.String()+"]", v.MapIndex(key))...)
		}
	case v.Kind() == reflect.Slice:
		for i := range v.Len() {
			found = append(found, negative(path, v.Index(i))...)
		}
	}
	return found
}

// oldPipe is the socket of a daemon of the old build.
type oldPipe struct {
	pipe
	t *testing.T
}

// WriteTo delivers what the old build sends of a datagram.
func (p *oldPipe) WriteTo(data []byte, to net.Addr) (int, error) {
	return p.pipe.WriteTo(mustEncode(p.t, throughOld(p.t, mustDecode(p.t, data))), to)
}

// Daemons of both builds, as relays and as followers, know the loads of all others, and that
// they live.
func TestFleetOfTwoBuilds(t *testing.T) {
	const daemons = 12
	for name, isOld := range map[string]func(i int) bool{
		"old relays":    func(i int) bool { return i < 6 },
		"old followers": func(i int) bool { return i >= 6 },
		"one by one":    func(i int) bool { return i%2 == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(daemons, 3)
			for i := range daemons {
				g := f.daemons[f.listed[fmt.Sprintf("d%03d", i)].Peer]
				report := g.options.Report
				if isOld(i) {
					g.options.Conn = &oldPipe{pipe: pipe{fleet: f, from: g.options.Self.Peer}, t: t}
					continue
				}
				g.options.Report = func() Message { return withNew(t, report()) }
			}
			f.run(2 * time.Second)
			for _, g := range f.daemons {
				alive := g.Alive()
				running, heard := 0, map[string]bool{}
				for _, m := range alive {
					running += m.Endpoints["e"].Running
					heard[m.From.ID] = m.Ready
					is.Equal(negative("Message", reflect.ValueOf(m)), nil)
				}
				is.Equal(running, daemons-1)
				is.Equal(len(heard), daemons-1)
			}
		})
	}
}

// withNew returns a message with all that the old build doesn't have, at the endpoints that
// it names and beside them.
func withNew(t *testing.T, m Message) Message {
	t.Helper()
	full := filled(Own)
	old := throughOld(t, full)
	copyNew(reflect.ValueOf(&m).Elem(), reflect.ValueOf(full), reflect.ValueOf(old))
	for id, load := range m.Endpoints {
		copyNew(reflect.ValueOf(&load).Elem(), reflect.ValueOf(full.Endpoints["k"]), reflect.ValueOf(old.Endpoints["k"]))
		m.Endpoints[id] = load
	}
	return m
}

// copyNew sets the fields that are zero in old to those of full.
func copyNew(to, full, old reflect.Value) {
	for i := range to.NumField() {
		if old.Field(i).IsZero() {
			to.Field(i).Set(full.Field(i))
		}
	}
}
