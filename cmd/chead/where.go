package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"text/tabwriter"

	"clementinehead.example/chead/bound"
	"clementinehead.example/chead/edge"
	"clementinehead.example/chead/pick"
	"clementinehead.example/chead/reply"
)

// whereCommand holds the flags of "chead where".
type whereCommand struct {
	Daemon   string `default:"127.0.0.1:9464" help:"Metrics address of a daemon, host:port."`
	Service  string `required:"" help:"Service of the request."`
	Model    string `help:"Model; none for a plain service."`
	Account  string `help:"Client account."`
	Prompt   int    `help:"Tokens of the prompt."`
	Answer   int    `help:"Tokens that are expected to be written."`
	Priority int    `help:"Priority; 0 is the most urgent."`
	Left     int    `default:"1000" help:"Milliseconds left of its target latency."`
	Wait     int    `default:"1000" help:"Milliseconds that it may wait for a slot."`
}

// Run prints where a request would go now, and why. Nothing is sent to endpoints.
func (c whereCommand) Run() error {
	found, err := c.ask()
	if err != nil {
		return err
	}
	return printWhere(os.Stdout, found)
}

// ask requests the explanation from the daemon.
func (c whereCommand) ask() (pick.Explanation, error) {
	query := url.Values{"service": {c.Service}, "model": {c.Model}, "account": {c.Account}}
	for name, v := range map[string]int{"prompt": c.Prompt, "answer": c.Answer, "priority": c.Priority, "left": c.Left, "wait": c.Wait} {
		query.Set(name, strconv.Itoa(v))
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	var found pick.Explanation
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Daemon+edge.WherePath+"?"+query.Encode(), nil)
	if err != nil {
		return found, err
	}
	response, err := reply.Default.Do(request)
	if err != nil {
		return found, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return found, fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	body, err := bound.ReadAll(response.Body, maxAnswerBytes)
	if err != nil {
		return found, err
	}
	return found, json.Unmarshal(body, &found)
}

// printWhere writes an explanation as text.
func printWhere(w io.Writer, found pick.Explanation) error {
	fmt.Fprintf(w, "%s\n", verdict(found))
	fmt.Fprintf(w, "queue: %d in time, %d late; %.1f slots freed and %.1f requests a second; level of the account %d\n",
		found.Queue.InTime, found.Queue.Late, found.Queue.FreeRate, found.Queue.ArrivalRate, found.Queue.Level)
	fmt.Fprintf(w, "loads of other daemons are known after %v; %.1f requests expected since; %d more at each endpoint by what they state\n",
		found.Delay, found.Sent, found.Queue.Hidden)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "endpoint\tdomain\tload\texpected\tslots\tread\tslow\tcost\tshare\twhy not")
	for _, o := range found.Options {
		fmt.Fprintf(table, "%s\t%s\t%d\t%.1f\t%d\t%v\t%.1f\t%v\t%.2f\t%s\n",
			o.Endpoint, o.Domain, o.Load, o.Expected, o.Slots, o.Read, o.Slow, o.Cost, o.Share, o.Reason)
	}
	return table.Flush()
}

// verdict returns what would be done, in a sentence.
func verdict(found pick.Explanation) string {
	switch {
	case found.Refusal != "":
		return "sent to no endpoint from here: " + found.Refusal
	case len(found.Options) == 0:
		return "no endpoint serves it"
	case found.Served:
		return "sent at once, to one of the endpoints by their shares"
	case found.Decision.Wait:
		return "waits for a slot"
	}
	return fmt.Sprintf("refused as not run, to come back after %v", found.Decision.RetryAfter)
}
