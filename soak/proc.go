package soak

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// proc is a program that can be restarted. Only processes started by a proc are
// signalled, by their ids.
type proc struct {
	name    string
	command []string
	log     *os.File
	onLine  func(string) // called for each line of the program's output, if not nil

	mu         sync.Mutex
	cmd        *exec.Cmd
	started    time.Time
	ended      chan struct{} // closed when the process has ended
	stopping   bool          // a signal to end was sent
	code       int
	unexpected int // number of ends without such a signal
}

// start starts the program unless it is running. The error has kind Start.
func (p *proc) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Stderr = p.log
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		return &Error{Op: "start " + p.name, Kind: Start, Err: err}
	}
	p.cmd = cmd
	p.started = time.Now()
	p.stopping = false
	p.ended = make(chan struct{})
	go p.copyOutput(cmd, out, p.ended)
	return nil
}

// copyOutput writes the program's output to the log until the process ends, and
// records how it ended.
func (p *proc) copyOutput(cmd *exec.Cmd, out io.Reader, ended chan struct{}) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if p.onLine != nil {
			p.onLine(lines.Text())
		}
		_, _ = p.log.WriteString(lines.Text() + "\n") // a line missing from the log is no failure
	}
	_ = cmd.Wait() // the exit code is read below
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = nil
	p.code = cmd.ProcessState.ExitCode()
	if !p.stopping {
		p.unexpected++
	}
	close(ended)
}

// program sets the path of the program from the next start on.
func (p *proc) program(path string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command[0] = path
}

// signal sends a signal to the process, if it is running.
func (p *proc) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.stopping = true
	}
	_ = p.cmd.Process.Signal(s) // the process may just have ended
}

// unexpectedEnds returns how often the process ended without a signal to do so,
// and its last exit code.
func (p *proc) unexpectedEnds() (unexpected, code int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unexpected, p.code
}

// isStopping reports whether the process runs and was sent a signal to end.
func (p *proc) isStopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && p.stopping
}

// age returns the time since the process was started.
func (p *proc) age() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.started)
}

// awaitEnd waits until the process has ended, and reports whether it did within
// a limit.
func (p *proc) awaitEnd(limit time.Duration) bool {
	p.mu.Lock()
	ended, runs := p.ended, p.cmd != nil
	p.mu.Unlock()
	if !runs {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}
