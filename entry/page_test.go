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

var update = flag.Bool("update", false, "write the examples of docs/CALL.md anew")

const page = "../docs/CALL.md"

// TestCallPage sends the page's requests, one after the other, and compares
// the answers with those that stand behind them, and the codes with the table.
func TestCallPage(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile(page)
	is.NoErr(err)
	var made string
	within(t, 1, document(), fakes.EngineOptions{}, func(w *world) {
		made = withCodes(w.withAnswers(string(text)))
	})
	if *update {
		is.NoErr(os.WriteFile(page, []byte(made), 0o644))
		return
	}
	is.Equal(made, string(text))
}

const fence3 = "```"

// withAnswers puts the answer to each request into the block behind it.
func (w *world) withAnswers(text string) string {
	parts := strings.Split(text, fence3+"http\n")
	for i := 1; i+1 < len(parts); i += 2 {
		request, _, _ := strings.Cut(parts[i], fence3)
		_, rest, _ := strings.Cut(parts[i+1], fence3)
		parts[i+1] = w.exchange(request) + fence3 + rest
		time.Sleep(time.Second)
	}
	return strings.Join(parts, fence3+"http\n")
}

// exchange sends a request as it stands on the page and returns the answer as
// it should stand there.
func (w *world) exchange(request string) string {
	c, err := w.network.Dial(context.Background(), "caller", "d0:80")
	if err != nil {
		w.t.Fatal(err)
	}
	defer c.Close()
	head, body, _ := strings.Cut(request, "\n\n")
	head = strings.TrimSuffix(head, "\n")
	body = strings.TrimSuffix(body, "\n")
	head += fmt.Sprint("\nContent-Length: ", len(body))
	if _, err := io.WriteString(c, strings.ReplaceAll(head, "\n", "\r\n")+"\r\n\r\n"+body); err != nil {
		w.t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		w.t.Fatal(err)
	}
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		w.t.Fatal(err)
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

// withCodes writes the table of codes.
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
