package reply_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/reply"
)

const (
	soundFields = "Content-Type: text/plain\r\n"
	soundBody   = "the body"
)

// A Transport returns no message that is no answer, or tells so at the end of its body.
func TestTransportRefusesWhatIsNoAnswer(t *testing.T) {
	for _, c := range []struct {
		name string
		bad  []fakes.Message
	}{
		{"statuses", fakes.BadStatuses()},
		{"fields", fakes.BadFields()},
		{"framings", fakes.BadFramings()},
		{"trailers", fakes.BadTrailers()},
	} {
		for _, single := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, single %v", c.name, single), func(t *testing.T) {
				is := is.New(t)
				read := func(_ context.Context, address string) error {
					body, err := fetch(reply.NewTransport(&http.Transport{}), single, address, nil)
					if err == nil && body != soundBody {
						err = fmt.Errorf("body %q", body)
					}
					return err
				}
				wrong, err := fakes.Misread(t.Context(), read, soundFields, soundBody, c.bad)
				is.NoErr(err)
				is.Equal(wrong, nil)
			})
		}
	}
}

// On a kept connection a message is checked as on a new one.
func TestMessagesOnAKeptConnection(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	sound := map[string]bool{}
	for _, m := range fakes.SoundMessages() {
		sound[m.Name] = true
	}
	for _, m := range append(fakes.BadHeads(), fakes.SoundMessages()...) {
		t.Run(m.Name, func(t *testing.T) {
			is := is.New(t)
			client, server := net.Pipe()
			defer func() { _ = client.Close() }()
			go answerInTurn(server, first, m.With(soundFields, soundBody))
			transport := reply.NewTransport(&http.Transport{DialContext: dialOnce(client)})
			defer transport.CloseIdleConnections()
			body, err := post(&http.Client{Transport: transport}, "server", nil)
			is.NoErr(err)
			is.Equal(body, "ok")
			body, err = post(&http.Client{Transport: transport}, "server", nil)
			is.Equal(err == nil, sound[m.Name])
			is.Equal(body == soundBody, sound[m.Name])
		})
	}
}

// answerInTurn answers one request with each of the texts and closes the connection.
func answerInTurn(c net.Conn, texts ...string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for _, text := range texts {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// dialOnce returns a connection to the first caller and an error to the others.
func dialOnce(c net.Conn) func(context.Context, string, string) (net.Conn, error) {
	var used atomic.Bool
	return func(context.Context, string, string) (net.Conn, error) {
		if used.Swap(true) {
			return nil, io.ErrClosedPipe
		}
		return c, nil
	}
}

// A message that is none is found wherever the reads that it comes in begin, and one that is
// an answer is read as it is.
func TestMessagesByteByByte(t *testing.T) {
	for kind, messages := range map[reply.Kind][]fakes.Message{
		reply.Status: fakes.BadStatuses(), reply.Field: append(fakes.BadFields(), fakes.BadTrailers()...),
	} {
		for _, m := range messages {
			t.Run(m.Name, func(t *testing.T) {
				_, err := readSlowly(m.With(soundFields, soundBody))
				is.New(t).True(reply.Is(err, kind))
			})
		}
	}
	for _, m := range fakes.SoundMessages() {
		t.Run(m.Name, func(t *testing.T) {
			is := is.New(t)
			text := m.With(soundFields, soundBody)
			got, err := readSlowly(text)
			is.NoErr(err)
			is.Equal(got, text)
		})
	}
}

// readSlowly reads a message from a connection that gives one byte at a time.
func readSlowly(text string) (string, error) {
	client, server := net.Pipe()
	defer func() { _ = client.Close() }()
	go func() {
		_, _ = io.WriteString(server, text)
		_ = server.Close()
	}()
	c := reply.NewConn(client)
	c.Begin()
	c.Sent(nil)
	got, err := io.ReadAll(iotest.OneByteReader(c))
	return string(got), err
}
