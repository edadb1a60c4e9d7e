package fakes

import (
	"net/http"
	"strconv"
	"time"
)

// Kill ends the engine: its connections break and new ones do as well, until
// Restart.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != nil {
		e.life.end()
	}
	e.life = nil
	e.boot++
}

// Restart ends the engine, if need be, and starts it anew: idle, cold, and
// with another boot number.
func (e *Engine) Restart() {
	e.Kill()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot = max(e.boot+1, uint64(time.Now().UnixNano()))
	e.life = newLife(e, e.boot)
}

// Cool makes the engine return cold without a word: under its order, with
// another boot number and nothing in progress.
func (e *Engine) Cool() {
	l := e.current()
	if l == nil {
		return
	}
	l.mu.Lock()
	order, loaded := l.order, l.loaded
	l.mu.Unlock()
	e.Restart()
	l = e.current()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.order, l.loaded = order, loaded
	if !loaded {
		l.reload(order)
	}
	l.reobserve(order)
}

// Pause makes the engine answer nothing and make no progress until Resume.
func (e *Engine) Pause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.paused == nil {
		e.paused = make(chan struct{})
	}
}

// Resume ends a pause.
func (e *Engine) Resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.paused != nil {
		close(e.paused)
	}
	e.paused = nil
}

// Straggle makes tokens take a multiple of their time, and answers to probes
// come late; 1 is the normal.
func (e *Engine) Straggle(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowness = factor
}

// Close ends the engine and waits for all that it runs.
func (e *Engine) Close() {
	l := e.current()
	e.Resume()
	e.Kill()
	if l != nil {
		l.settle()
	}
	e.tasks.Wait()
}

// settle waits for what holds the lock and may still begin a task.
func (l *life) settle() {
	l.mu.Lock()
	defer l.mu.Unlock()
}

// Slowness returns the factor that Straggle set.
func (e *Engine) Slowness() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.slowness
}

// crash ends one life of the engine and starts the next after a while.
func (e *Engine) crash(l *life) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != l {
		return
	}
	l.end()
	e.life = nil
	e.boot++
	boot := e.boot
	time.AfterFunc(e.options.Reboot, func() { e.reboot(boot) })
}

// reboot starts the engine unless it was killed or started since a crash.
func (e *Engine) reboot(crashed uint64) {
	e.mu.Lock()
	same := e.boot == crashed
	e.mu.Unlock()
	if same {
		e.Restart()
	}
}

// began notes that a job runs from now on.
func (e *Engine) began(j *job) {
	e.ledger.Add(j.id, PromptKey(j.prompt))
	if e.options.Began != nil {
		e.options.Began(j.id, j.prompt)
	}
}

// serveSwitch answers a request for a switch, and reports whether it was one.
func (e *Engine) serveSwitch(w http.ResponseWriter, r *http.Request) bool {
	switch r.URL.Path {
	case "/fake/kill":
		e.Kill()
	case "/fake/restart":
		e.Restart()
	case "/fake/cool":
		e.Cool()
	case "/fake/pause":
		e.Pause()
	case "/fake/resume":
		e.Resume()
	case "/fake/straggle":
		toggle(parseFloat, e.Straggle)(w, r)
	case "/fake/runs":
		e.ledger.ServeHTTP(w, r)
	case "/fake/violations":
		writeJSON(w, e.Violations())
	default:
		return false
	}
	return true
}

func parseFloat(text string) (float64, error) { return strconv.ParseFloat(text, 64) }
