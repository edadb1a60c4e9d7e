package simul

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// caller sends requests to a runner over one connection.
type caller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
	runner *Runner
	mu     sync.Mutex
	acts   []Act
}

// callRunner starts a plain runner with faults and returns a caller of it.
func callRunner(t *testing.T, f Faults) *caller {
	t.Helper()
	c := &caller{t: t}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	r := NewRunner(RunnerOptions{
		ID: "r1", Slots: 4, Event: 20 * time.Millisecond, Named: true, Faults: f,
		OnAct: func(a Act) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.acts = append(c.acts, a)
		},
	})
	c.runner = r
	go func() { _ = Serve(listener, r, time.Second) }()
	c.conn, err = net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.conn.Close() })
	_ = c.conn.SetDeadline(time.Now().Add(5 * time.Second))
	c.reader = bufio.NewReader(c.conn)
	return c
}

// send sends a request.
func (c *caller) send(id string) {
	c.t.Helper()
	r, err := Call{Address: "front.example", Path: "/file/", ID: id, Deadline: time.Second}.Request(context.Background())
	if err != nil {
		c.t.Fatal(err)
	}
	if err := r.Write(c.conn); err != nil {
		c.t.Fatal(err)
	}
}

// read reads an answer. The error is that of the body, if there is an answer.
func (c *caller) read() (status int, id, body string, err error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", "", err
	}
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get("X-Request-Id"), string(data), err
}

// deeds returns the deeds of the runner for a request.
func (c *caller) deeds(id string) []Deed {
	c.mu.Lock()
	defer c.mu.Unlock()
	var deeds []Deed
	for _, a := range c.acts {
		if a.ID == id {
			deeds = append(deeds, a.Deed)
		}
	}
	return deeds
}

// The second answer of a runner that stutters comes where the next one is expected,
// with the first request's id, and the next answer follows it whole.
func TestSecondAnswerComesBeforeTheNext(t *testing.T) {
	is := is.New(t)
	c := callRunner(t, Faults{Stutter: 1})
	c.send("a")
	status, id, body, err := c.read()
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(id, "a")
	is.Equal(body, PlainBody("r1", "a"))
	c.send("b")
	_, id, _, err = c.read()
	is.NoErr(err)
	is.Equal(id, "a") // the second answer to a
	status, id, body, err = c.read()
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(id, "b")
	is.Equal(body, PlainBody("r1", "b"))
}

// Each fault shows to the caller as it is meant to, and in the runner's acts.
func TestFaultsOfAnswers(t *testing.T) {
	for _, f := range []struct {
		name   string
		faults Faults
		status int
		fails  error
		deeds  []Deed
	}{
		{"sound", Faults{}, 200, nil, []Deed{Came, Ran, Gave, Ended}},
		{"unsized", Faults{Unsized: 1}, 200, nil, []Deed{Came, Ran, Gave, Ended}},
		{"reset", Faults{Reset: 1}, 200, syscall.ECONNRESET, []Deed{Came, Ran, Gave, Broke, Ended}},
		{"truncated", Faults{Truncate: 1}, 200, io.ErrUnexpectedEOF, []Deed{Came, Ran, Gave, Broke, Ended}},
		{"failed", Faults{Fail: 1}, 500, nil, []Deed{Came, Ran, Gave, Ended}},
		{"expired", Faults{Expire: 1}, 504, nil, []Deed{Came, Ran, Gave, Ended}},
		{"busy", Faults{Busy: 1}, 503, nil, []Deed{Came, Gave}},
	} {
		t.Run(f.name, func(t *testing.T) {
			is := is.New(t)
			c := callRunner(t, f.faults)
			c.send("a")
			status, id, body, err := c.read()
			is.Equal(status, f.status)
			is.Equal(id, "a")
			is.True(errors.Is(err, f.fails))
			is.Equal(body == PlainBody("r1", "a"), f.fails == nil && status == http.StatusOK)
			time.Sleep(100 * time.Millisecond) // the run ends after its answer
			is.Equal(c.deeds("a"), f.deeds)
		})
	}
}

// A runner that loses an answer runs the request and keeps the connection open.
func TestLostAnswer(t *testing.T) {
	is := is.New(t)
	c := callRunner(t, Faults{Lose: 1})
	c.send("a")
	_ = c.conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	_, _, _, err := c.read()
	var network net.Error
	is.True(errors.As(err, &network) && network.Timeout())
	is.Equal(c.deeds("a")[:2], []Deed{Came, Ran})
}

// The same seed gives the same faults, another seed others.
func TestFaultsAreThoseOfTheSeed(t *testing.T) {
	is := is.New(t)
	drawn := func(seed uint64) []fault {
		f := Faults{Seed: seed, Stutter: 0.3, Lose: 0.3, Busy: 0.3}
		var all []fault
		for run := range 50 {
			got, _ := f.draw("r1", "a", run)
			all = append(all, got)
		}
		return all
	}
	is.Equal(drawn(1), drawn(1))
	is.True(!slices.Equal(drawn(1), drawn(2)))
}

// A runner that breaks off an answer without a length resets the connection, since
// nothing else tells that the answer is not complete.
func TestUnsizedAnswerBrokenOffIsReset(t *testing.T) {
	is := is.New(t)
	c := callRunner(t, Faults{Unsized: 1})
	c.runner.options.Fabric = "f1"
	c.runner.options.Events = 100 // more than come before the deadline
	c.runner.group = &groupState{State: "open"}
	c.send("a")
	status, _, body, err := c.read()
	is.Equal(status, http.StatusOK)
	is.True(len(body) > 0)
	is.True(errors.Is(err, syscall.ECONNRESET))
	is.Equal(c.deeds("a")[3], Broke)
}
