package front

import (
	"maps"
	"strings"
	"sync"
)

// tries is what is known of the tries of a request. Its handler and the watchdog of its
// send use it. The zero value is ready to use.
type tries struct {
	mu        sync.Mutex
	endpoints []string        // by try
	failed    map[string]bool // endpoints that failed it
	ran       int             // tries that may have run, or may yet
	answer    response        // the last error answer of an endpoint, if any
}

// begin adds a try that may run.
func (t *tries) begin(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endpoints = append(t.endpoints, endpoint)
	t.ran++
}

// notRun records that a try has not run and will not.
func (t *tries) notRun() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ran--
}

// useUp records that as many tries as are allowed may have run.
func (t *tries) useUp(attempts int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ran = max(t.ran, attempts)
}

// fail records an endpoint that failed the request.
func (t *tries) fail(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failed == nil {
		t.failed = map[string]bool{}
	}
	t.failed[endpoint] = true
}

// keep records an error answer. It is sent to the caller if no try succeeds.
func (t *tries) keep(answer response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answer = answer
}

// kept returns the last error answer. Its status is 0 if there is none.
func (t *tries) kept() response {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answer
}

// counts returns the number of tries, and of those that may have run or may yet.
func (t *tries) counts() (all, ran int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.endpoints), t.ran
}

// avoid returns the endpoints that failed the request.
func (t *tries) avoid() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	avoid := map[string]bool{}
	maps.Copy(avoid, t.failed)
	return avoid
}

// names returns the endpoints by try, for the log.
func (t *tries) names() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join(t.endpoints, ",")
}
