package front

import (
	"strconv"

	"clementinehead.example/chead/platform"
)

// expectAfterLast sets the id that a stream's first event must have where its caller
// resumes it: the one after the event that the caller names.
func (j *job) expectAfterLast() {
	if !j.route.Resume {
		return
	}
	if last, err := strconv.ParseInt(j.r.Header.Get(platform.HeaderLastEvent), 10, 64); err == nil {
		j.stream.nextID = last + 1
	}
}
