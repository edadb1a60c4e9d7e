package reply_test

import (
	"io"
	"net"
	"net/http"
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

// call gets the answer of an address over a new connection, or the last of three over a kept
// one.
func call(transport *reply.Transport, single bool, address string) (string, error) {
	if single {
		return fetch(transport, true, address, nil)
	}
	for range 2 {
		_, _ = fetch(transport, false, address, nil)
	}
	return fetch(transport, false, address, nil)
}

// refuse checks that no caller gets one of the messages as an answer.
func refuse(t *testing.T, messages []fakes.Message) {
	t.Helper()
	for _, m := range messages {
		for _, single := range []bool{false, true} {
			t.Run(m.Name, func(t *testing.T) {
				is := is.New(t)
				address, stop, err := m.Send(soundFields, soundBody)
				is.NoErr(err)
				defer stop()
				body, err := call(reply.NewTransport(&http.Transport{}), single, address)
				is.True(err != nil)
				is.Equal(body, "")
			})
		}
	}
}

func TestBadStatuses(t *testing.T) { refuse(t, fakes.BadStatuses()) }

func TestBadFields(t *testing.T) { refuse(t, fakes.BadFields()) }

func TestBadFramings(t *testing.T) { cut(t, fakes.BadFramings()) }

func TestBadTrailers(t *testing.T) { cut(t, fakes.BadTrailers()) }

// cut checks that the reader of each of the messages is told that it is no answer, before
// the body or at its end.
func cut(t *testing.T, messages []fakes.Message) {
	t.Helper()
	for _, m := range messages {
		t.Run(m.Name, func(t *testing.T) {
			is := is.New(t)
			address, stop, err := m.Send(soundFields, soundBody)
			is.NoErr(err)
			defer stop()
			_, err = call(reply.NewTransport(&http.Transport{}), true, address)
			is.True(err != nil)
		})
	}
}

// All answers are read as they are, also if they come byte by byte.
func TestSoundMessages(t *testing.T) {
	for _, m := range fakes.SoundMessages() {
		t.Run(m.Name, func(t *testing.T) {
			is := is.New(t)
			address, stop, err := m.Send(soundFields, soundBody)
			is.NoErr(err)
			defer stop()
			for _, single := range []bool{false, true} {
				body, err := call(reply.NewTransport(&http.Transport{}), single, address)
				is.NoErr(err)
				is.Equal(body, soundBody)
			}
			text := m.With(soundFields, soundBody)
			got, err := readSlowly(text)
			is.NoErr(err)
			is.Equal(got, text)
		})
	}
}

// A message that is none is found wherever the reads that it comes in begin.
func TestBadMessagesByteByByte(t *testing.T) {
	for kind, messages := range map[reply.Kind][]fakes.Message{reply.Status: fakes.BadStatuses(), reply.Field: fakes.BadFields()} {
		for _, m := range messages {
			t.Run(m.Name, func(t *testing.T) {
				_, err := readSlowly(m.With(soundFields, soundBody))
				is.New(t).True(reply.Is(err, kind))
			})
		}
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
