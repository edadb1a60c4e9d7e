package entry_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/entry"
	"clementinehead.example/chead/fakes"
)

var update = flag.Bool("update", false, "rewrite the examples in docs/CALL.md")

const callPage = "../docs/CALL.md"

// TestCallPage sends the requests on the page docs/CALL.md, one after the
// other. It compares the answers with those on the page, and the codes with its
// table.
func TestCallPage(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile(callPage)
	is.NoErr(err)
	var generated string
	withCluster(t, 1, document(), fakes.EngineOptions{}, func(cl *cluster) {
		generated = withCodes(cl.withAnswers(string(text)))
	})
	if *update {
		is.NoErr(os.WriteFile(callPage, []byte(generated), 0o644))
		return
	}
	is.Equal(generated, string(text))
}

const codeFence = "```"

// withAnswers replaces the block after each request by the answer.
func (cl *cluster) withAnswers(text string) string {
	parts := strings.Split(text, codeFence+"http\n")
	for i := 1; i+1 < len(parts); i += 2 {
		request, _, _ := strings.Cut(parts[i], codeFence)
		_, rest, _ := strings.Cut(parts[i+1], codeFence)
		parts[i+1] = cl.exchange(request) + codeFence + rest
		time.Sleep(time.Second)
	}
	return strings.Join(parts, codeFence+"http\n")
}

// exchange sends a request as it is on the page and returns the answer in the
// page's format.
func (cl *cluster) exchange(request string) string {
	c, err := cl.network.Dial(context.Background(), "caller", "d0:80")
	if err != nil {
		cl.t.Fatal(err)
	}
	defer c.Close()
	head, body, _ := strings.Cut(request, "\n\n")
	head = strings.TrimSuffix(head, "\n")
	body = strings.TrimSuffix(body, "\n")
	head += fmt.Sprint("\nContent-Length: ", len(body))
	if _, err := io.WriteString(c, strings.ReplaceAll(head, "\n", "\r\n")+"\r\n\r\n"+body); err != nil {
		cl.t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		cl.t.Fatal(err)
	}
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		cl.t.Fatal(err)
	}
	lines := []string{"HTTP/1.1 " + response.Status}
	for name := range response.Header {
		if name != "Date" && name != "Content-Length" {
			lines = append(lines, name+": "+response.Header.Get(name))
		}
	}
	slices.Sort(lines[1:])
	return strings.Join(lines, "\n") + "\n\n" + strings.TrimRight(string(answer), "\n") + "\n"
}

// withCodes replaces the table of codes.
func withCodes(text string) string {
	before, rest, _ := strings.Cut(text, "<!-- codes -->\n")
	_, after, _ := strings.Cut(rest, "<!-- end -->")
	var table strings.Builder
	table.WriteString("| Code | Status | Meaning |\n| --- | --- | --- |\n")
	for code := entry.BadPath; code < entry.Replayed; code++ {
		status, meaning := code.Meaning()
		fmt.Fprintf(&table, "| `%s` | %d | %s |\n", code, status, meaning)
	}
	return before + "<!-- codes -->\n" + table.String() + "<!-- end -->" + after
}
