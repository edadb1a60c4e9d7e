package trace

import (
	"bufio"
	"io"
	"sort"
	"strings"
	"time"
)

const (
	maxLine  = 1 << 20         // bytes, longest accepted line
	lookback = 3 * time.Second // related lines are included from this long before the arrival, as decisions rest on what daemons learned then, and until this long after the last line of a request without an end
)

// Logs collects the log lines of all daemons that may concern one request: those
// that carry its id and those that carry no id. Use New to create one.
type Logs struct {
	id       string
	tagged   []Line
	untagged []Line
	skipped  int // number of input lines that are not log lines
}

// New returns empty Logs for the request with the given id.
func New(id string) *Logs { return &Logs{id: id} }

// Read adds the log of one daemon, or the concatenated logs of several daemons in
// any order. It returns an Error of kind Unreadable if reading fails or a line is
// longer than 1 MiB.
func (l *Logs) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			l.skipped++
			continue
		}
		switch line.Get("id") {
		case l.id:
			l.tagged = append(l.tagged, line)
		case "":
			l.untagged = append(l.untagged, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return &Error{Op: "read log", Kind: Unreadable, Err: err}
	}
	return nil
}

// Trace is the history of a request, with its lines in order of time.
type Trace struct {
	ID      string
	Arrived time.Time // arrival, or the time of the first line if no line tells of the end
	End     Line      // last line that carries the id; isEnd reports whether it ends the request
	Tagged  []Line    // lines that carry the id of the request
	Related []Line    // lines without an id that concern the request
	Skipped int       // number of input lines that are not log lines
}

// Trace returns the history of the request. It returns an Error of kind Missing if
// no line carries the id of the request.
func (l *Logs) Trace() (*Trace, error) {
	if len(l.tagged) == 0 {
		return nil, &Error{Op: "find request " + l.id, Kind: Missing}
	}
	byTime(l.tagged)
	trace := &Trace{ID: l.id, Tagged: l.tagged, End: l.tagged[len(l.tagged)-1], Skipped: l.skipped}
	trace.Arrived = l.tagged[0].Time
	until := trace.End.Time.Add(lookback) // what its daemon did next may tell why there is no end
	if took := time.Duration(trace.End.number("took_ms")) * time.Millisecond; isEnd(trace.End) {
		trace.Arrived = trace.End.Time.Add(-took)
		until = trace.End.Time
	}
	r := relatedTo(l.tagged)
	if trace.End.Get("basis") != "" {
		trace.Related = l.admissionLines(trace.End.Daemon, trace.Arrived.Add(-lookback))
	}
	for _, line := range l.untagged {
		if line.Time.Before(trace.Arrived.Add(-lookback)) || line.Time.After(until) || !r.matches(line) {
			continue
		}
		trace.Related = append(trace.Related, line)
	}
	byTime(trace.Related)
	return trace, nil
}

// admissionLines returns the latest line of a daemon before a time on each of what its
// admission of requests rested on: the program's build, the configuration, what showed it to
// be the newest, and the store's last return from a copy. They may be much older than the
// request.
func (l *Logs) admissionLines(daemon string, before time.Time) []Line {
	latest := map[string]Line{}
	for _, line := range l.untagged {
		if line.Daemon != daemon || !isOnAdmission(line) || !line.Time.Before(before) || line.Time.Before(latest[line.Message].Time) {
			continue
		}
		latest[line.Message] = line
	}
	var lines []Line
	for _, line := range latest {
		lines = append(lines, line)
	}
	return lines
}

// isOnAdmission reports whether a line tells what admissions rest on.
func isOnAdmission(l Line) bool {
	switch l.Message {
	case "daemon starts", "configuration in force", "configuration compared", "store came back from an older copy":
		return true
	}
	return false
}

// inProgress is the message of a line on a request that has not ended.
const inProgress = "request in progress"

// isEnd reports whether a line is the final line of a request. Its message begins
// with "request ", followed by the outcome.
func isEnd(l Line) bool { return strings.HasPrefix(l.Message, "request ") && l.Message != inProgress }

func byTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}

// related holds what a request involved, for selecting lines that carry no id.
type related struct {
	daemons   map[string]bool
	endpoints map[string]bool
	groups    map[string]bool
	models    map[string]bool // models of the request for which no endpoint was tried
}

// relatedTo returns what the lines of a request mention.
func relatedTo(tagged []Line) related {
	r := related{map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}}
	for _, line := range tagged {
		r.daemons[line.Daemon] = true
		add(r.groups, line.Get("group"))
		add(r.endpoints, line.Get("endpoint"))
		for _, id := range strings.Split(line.Get("tried"), ",") {
			add(r.endpoints, id)
		}
		if line.Message == "request refused" && line.Get("tried") == "" {
			add(r.models, line.Get("model"))
		}
	}
	return r
}

// add adds a value to a set unless the value is empty.
func add(set map[string]bool, value string) {
	if value != "" {
		set[value] = true
	}
}

// matches reports whether a line without a request id concerns the request. That
// holds for lines on its endpoints, their groups, and groups of its model if no
// endpoint was tried. It also holds for lines of its daemons that name neither an
// endpoint nor a group.
func (r related) matches(l Line) bool {
	endpoint, group := l.Get("endpoint"), l.Get("group")
	switch {
	case r.endpoints[endpoint] || r.groups[group]:
		return true
	case group != "":
		return r.models[l.Get("model")] || r.hasMember(l.Get("members"))
	case endpoint != "":
		return false
	}
	return r.daemons[l.Daemon]
}

// hasMember reports whether a comma-separated list of group members contains an
// endpoint of the request.
func (r related) hasMember(members string) bool {
	for _, id := range strings.Split(members, ",") {
		if r.endpoints[id] {
			return true
		}
	}
	return false
}
