package edge

import (
	"net/url"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/pick"
)

func TestParseWhere(t *testing.T) {
	for _, c := range []struct {
		query string
		want  pick.Request
		fault string
	}{
		{"service=s", pick.Request{Service: "s", Remaining: time.Second, MaxWait: time.Second}, ""},
		{"service=s&model=m&account=a&prompt=10&answer=20&priority=2&left=300&wait=50", pick.Request{
			Service: "s", Model: "m", Account: "a", PromptTokens: 10, AnswerTokens: 20, Priority: 2,
			Remaining: 300 * time.Millisecond, MaxWait: 50 * time.Millisecond,
		}, ""},
		{"model=m", pick.Request{}, "service: must be given"},
		{"service=s&prompt=many", pick.Request{}, `prompt: must be a number of at least 0, is "many"`},
		{"service=s&left=-1", pick.Request{}, `left: must be a number of at least 0, is "-1"`},
	} {
		t.Run(c.query, func(t *testing.T) {
			is := is.New(t)
			query, err := url.ParseQuery(c.query)
			is.NoErr(err)
			got, err := parseWhere(query)
			if c.fault != "" {
				is.Equal(err.Error(), c.fault)
				return
			}
			is.NoErr(err)
			is.Equal(got, c.want)
		})
	}
}
