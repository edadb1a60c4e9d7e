package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/view"
)

// TestDomainDrained checks the state while a failure domain is taken out of
// service and put back.
func TestDomainDrained(t *testing.T) {
	is := is.New(t)
	current := &view.View{Document: conf.Document{Domains: map[string]conf.Domain{"coast-a": {}, "coast-b": {}}}}
	e := &Entry{options: Options{View: func() *view.View { return current }}}
	now := time.Unix(1e9, 0)
	is.True(!e.domainDrained(now)) // all in service
	current = &view.View{Document: conf.Document{Domains: map[string]conf.Domain{"coast-a": {}, "coast-b": {Out: true}}}}
	is.True(e.domainDrained(now)) // one is out
	current = &view.View{Document: conf.Document{Domains: map[string]conf.Domain{"coast-a": {}, "coast-b": {}}}}
	is.True(e.domainDrained(now.Add(returnTime - 1))) // it is coming back
	is.True(!e.domainDrained(now.Add(returnTime)))    // it is back
}
