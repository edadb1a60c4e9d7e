package fakes

import (
	"net/http"
	"strconv"
	"time"
)

// Kill stops the engine. Its connections break, as do new ones until Restart.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != nil {
		e.process.stop()
	}
	e.process = nil
	e.boot++
}

// Restart stops the engine, if it runs, and starts it again: idle, cold and with
// another boot number.
func (e *Engine) Restart() {
	e.Kill()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot = max(e.boot+1, uint64(time.Now().UnixNano()))
	e.process = newProcess(e, e.boot)
}

// RestartCold restarts the engine, if it runs, without the loss of its order and
// its loaded weights. The engine has another boot number, is cold and has nothing
// in progress. A load of weights that was not complete starts anew.
func (e *Engine) RestartCold() {
	p := e.currentProcess()
	if p == nil {
		return
	}
	p.mu.Lock()
	order, loaded := p.order, p.loaded
	p.mu.Unlock()
	e.Restart()
	p = e.currentProcess()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.order, p.loaded = order, loaded
	if !loaded {
		p.startLoad(order)
	}
	p.startChecks(order)
}

// Pause stops all answers and all progress of the engine until Resume.
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

// SetSlowness slows the engine down: token times are multiplied by factor, and
// probes are answered late. A factor of 1 is normal speed.
func (e *Engine) SetSlowness(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowness = factor
}

// Close stops the engine and waits for all its tasks.
func (e *Engine) Close() {
	p := e.currentProcess()
	e.Resume()
	e.Kill()
	if p != nil {
		p.awaitLock()
	}
	e.tasks.Wait()
}

// awaitLock waits for a holder of the lock, which may still start a task.
func (p *process) awaitLock() {
	p.mu.Lock()
	defer p.mu.Unlock()
}

// Slowness returns the factor that SetSlowness set.
func (e *Engine) Slowness() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.slowness
}

// crash stops a process of the engine and starts the next one after the delay
// EngineOptions.Reboot.
func (e *Engine) crash(p *process) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != p {
		return
	}
	p.stop()
	e.process = nil
	e.boot++
	boot := e.boot
	time.AfterFunc(e.options.Reboot, func() { e.reboot(boot) })
}

// reboot starts the engine, unless it was killed or started since the crash.
func (e *Engine) reboot(crashed uint64) {
	e.mu.Lock()
	same := e.boot == crashed
	e.mu.Unlock()
	if same {
		e.Restart()
	}
}

// recordStart counts the start of a job, under its id and its prompt, and reports it
// to EngineOptions.OnRun.
func (e *Engine) recordStart(j *job) {
	e.counter.Add(j.id, PromptKey(j.prompt))
	if e.options.OnRun != nil {
		e.options.OnRun(j.id, j.prompt)
	}
}

// serveControl answers a request to a fault control, and reports whether it was
// one.
func (e *Engine) serveControl(w http.ResponseWriter, r *http.Request) bool {
	switch r.URL.Path {
	case "/fake/kill":
		e.Kill()
	case "/fake/restart":
		e.Restart()
	case "/fake/cool":
		e.RestartCold()
	case "/fake/pause":
		e.Pause()
	case "/fake/resume":
		e.Resume()
	case "/fake/straggle":
		setter(parseFloat, e.SetSlowness)(w, r)
	case "/fake/runs":
		e.counter.ServeHTTP(w, r)
	case "/fake/violations":
		writeJSON(w, e.Violations())
	default:
		return false
	}
	return true
}

func parseFloat(text string) (float64, error) { return strconv.ParseFloat(text, 64) }
