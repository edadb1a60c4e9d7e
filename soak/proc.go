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

// proc is a program that is started again and again. Only these are ever
// signalled, by their ids.
type proc struct {
	name    string
	command []string
	log     *os.File
	line    func(string) // called for each line of its output, if set

	mu     sync.Mutex
	cmd    *exec.Cmd
	began  time.Time
	ended  chan struct{} // closed once the process is gone
	wanted bool          // it was told to end
	code   int
	odd    int // ends that nobody asked for
}

// start starts the program unless it runs. The error is of kind Start.
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
	p.began = time.Now()
	p.wanted = false
	p.ended = make(chan struct{})
	go p.follow(cmd, out, p.ended)
	return nil
}

func (p *proc) follow(cmd *exec.Cmd, out io.Reader, ended chan struct{}) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if p.line != nil {
			p.line(lines.Text())
		}
		_, _ = p.log.WriteString(lines.Text() + "\n") // a lost line of the log is no finding
	}
	_ = cmd.Wait() // the code below tells
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = nil
	p.code = cmd.ProcessState.ExitCode()
	if !p.wanted {
		p.odd++
	}
	close(ended)
}

// signal sends a signal to the process, if it runs.
func (p *proc) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.wanted = true
	}
	_ = p.cmd.Process.Signal(s) // it may just have ended
}

// ends returns how often the process ended unasked, and its last code.
func (p *proc) ends() (odd, code int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.odd, p.code
}

// age returns how long ago the process was started.
func (p *proc) age() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.began)
}

// end waits for the process to be gone, and reports whether it was in time.
func (p *proc) end(limit time.Duration) bool {
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
