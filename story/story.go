package story

import (
	"bufio"
	"io"
	"sort"
	"strings"
	"time"
)

const (
	longest = 1 << 20         // bytes of a line
	before  = 3 * time.Second // of a request: what the daemons learned then is of interest
)

// Logs are the lines of all daemons that may matter to one request: its own, and
// those of no request. Use New.
type Logs struct {
	id     string
	own    []Line
	common []Line
	other  int // lines that are no log lines
}

// New returns logs that are empty, for the request of an id.
func New(id string) *Logs { return &Logs{id: id} }

// Read takes in one daemon's log, or those of several in any order. The error is
// Unreadable.
func (l *Logs) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, longest)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			l.other++
			continue
		}
		switch line.Get("id") {
		case l.id:
			l.own = append(l.own, line)
		case "":
			l.common = append(l.common, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return &Error{Op: "read log", Kind: Unreadable, Err: err}
	}
	return nil
}

// Story is what the logs say of a request, by time.
type Story struct {
	ID      string
	Arrived time.Time
	End     Line   // its last line
	Own     []Line // about the request itself
	Around  []Line // what the daemons learned or did that touches it
	Other   int    // lines that were no log lines
}

// Story returns what happened to the request. The error is Missing.
func (l *Logs) Story() (*Story, error) {
	if len(l.own) == 0 {
		return nil, &Error{Op: "find request " + l.id, Kind: Missing}
	}
	byTime(l.own)
	s := &Story{ID: l.id, Own: l.own, End: l.own[len(l.own)-1], Other: l.other}
	s.Arrived = l.own[0].Time
	if took := time.Duration(s.End.number("took_ms")) * time.Millisecond; ended(s.End) {
		s.Arrived = s.End.Time.Add(-took)
	}
	t := touching(l.own)
	for _, line := range l.common {
		if line.Time.Before(s.Arrived.Add(-before)) || line.Time.After(s.End.Time) || !t.matters(line) {
			continue
		}
		s.Around = append(s.Around, line)
	}
	byTime(s.Around)
	return s, nil
}

func ended(l Line) bool { return strings.HasPrefix(l.Message, "request ") }

func byTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}

// touched is what a request came by.
type touched struct {
	daemons   map[string]bool
	endpoints map[string]bool
	groups    map[string]bool
	models    map[string]bool // where no place was found for it
}

func touching(own []Line) touched {
	t := touched{map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}}
	for _, line := range own {
		t.daemons[line.Daemon] = true
		add(t.groups, line.Get("group"))
		add(t.endpoints, line.Get("endpoint"))
		for _, id := range strings.Split(line.Get("tried"), ",") {
			add(t.endpoints, id)
		}
		if line.Message == "request refused" && line.Get("tried") == "" {
			add(t.models, line.Get("model"))
		}
	}
	return t
}

func add(set map[string]bool, value string) {
	if value != "" {
		set[value] = true
	}
}

// matters reports whether a line of no request tells of something that the
// request came by: an endpoint, its group, groups of its model, or its daemon's
// own state.
func (t touched) matters(l Line) bool {
	endpoint, group := l.Get("endpoint"), l.Get("group")
	switch {
	case t.endpoints[endpoint] || t.groups[group]:
		return true
	case group != "":
		return t.models[l.Get("model")] || t.member(l.Get("members"))
	case endpoint != "":
		return false
	}
	return t.daemons[l.Daemon]
}

func (t touched) member(members string) bool {
	for _, id := range strings.Split(members, ",") {
		if t.endpoints[id] {
			return true
		}
	}
	return false
}
