package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/view"
)

// TestMoving follows a failure domain out of service and back.
func TestMoving(t *testing.T) {
	is := is.New(t)
	current := &view.View{Document: conf.Document{Domains: map[string]conf.Domain{"coast-a": {}, "coast-b": {}}}}
	e := &Entry{options: Options{View: func() *view.View { return current }}}
	now := time.Unix(1e9, 0)
	is.True(!e.moving(now)) // all in service
	current = &view.View{Document: conf.Document{Domains: map[string]conf.Domain{"coast-a": {}, "coast-b": {Out: true}}}}
	is.True(e.moving(now)) // one is out
	current = &view.View{Document: conf.Document{Domains: map[string]conf.Domain{"coast-a": {}, "coast-b": {}}}}
	is.True(e.moving(now.Add(returning - 1))) // it is coming back
	is.True(!e.moving(now.Add(returning)))    // it is back
}
