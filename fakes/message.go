package fakes

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
)

// Message is what a server sends in answer to a request: the heads of informational answers,
// a status line, field lines and a body. In Text {fields} and {body} stand for what a test
// adds, {length} for the body's length in bytes, {chunk} for the body as one chunk, and
// {chunk;a=b} for one with an extension.
type Message struct {
	Name string
	Text string
}

// With returns the message with fields, lines that end with CRLF, and a body.
func (m Message) With(fields, body string) string {
	return strings.NewReplacer(
		"{fields}", fields, "{body}", body, "{length}", strconv.Itoa(len(body)), "{chunk}", fmt.Sprintf("%x\r\n%s", len(body), body), "{chunk;a=b}", fmt.Sprintf("0%X;a=b\r\n%s", len(body), body),
	).Replace(m.Text)
}

// statusLine returns a message with a status line, and what follows it in a sound answer.
func statusLine(line string) Message {
	return Message{Name: line, Text: line + "\r\n{fields}\r\n{body}"}
}

// BadStatuses returns messages that are no answers by their status line. What follows it is
// sound, in some of them a second message.
func BadStatuses() []Message {
	var all []Message
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 -00 OK", "HTTP/1.1 +99 OK",
		"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 2O0 OK", "HTTP/1.1 OK", "HTTP/1.1 ", "HTTP/1.1", "HTTP/1.1 200\tOK", "HTTP/1.1 200.1",
		"HTTP/1.1 101 Switching Protocols", "HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/1.10 200 OK", "HTTP/1 200 OK", "HTTP/11 200 OK", "http/1.1 200 OK", " HTTP/1.1 200 OK", "",
	} {
		all = append(all, statusLine(line))
	}
	for _, status := range []string{"000", "001", "099", "101"} {
		m := statusLine("HTTP/1.1 200 OK")
		m.Name = status + ", then 200"
		m.Text = "HTTP/1.1 " + status + " X\r\n\r\n" + m.Text
		all = append(all, m)
	}
	return all
}

// SoundMessages returns messages that are answers, all with status 200.
func SoundMessages() []Message {
	const whole = "HTTP/1.1 200 OK\r\n{fields}\r\n{body}"
	return []Message{
		{"without a length", whole},
		{"of HTTP/1.0", "HTTP/1.0 200 OK\r\n{fields}\r\n{body}"},
		{"without a reason", "HTTP/1.1 200\r\n{fields}\r\n{body}"},
		{"with an empty reason", "HTTP/1.1 200 \r\n{fields}\r\n{body}"},
		{"after 100", "HTTP/1.1 100 Continue\r\n\r\n" + whole},
		{"after 102 and 103", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + whole},
		{"after an unknown informational answer", "HTTP/1.1 199 X\r\nA: b\r\n\r\n" + whole},
		{"with a length", "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"},
		{"in chunks", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{chunk}\r\n0\r\n\r\n"},
		{"in chunks, with a trailer", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{chunk}\r\n0\r\nX-Sum: 1\r\n\r\n"},
		{"in chunks with extensions", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{chunk;a=b}\r\n00;c=\"d\"\r\nX_Sum: 1\r\n!: 2\r\n\r\n"},
		{"empty and unusual values", "HTTP/1.1 200 OK\r\nA:\r\nB: \r\nC:\td\t\r\nD: \xe4: b\r\n{fields}\r\n{body}"},
		{"lines that end with LF", "HTTP/1.1 200 OK\nA: b\n{fields}\n{body}"},
	}
}

// badLines returns lines that are no field lines, or that go on with the line before them.
// The name of some would be one that counts without what is wrong with it: one of HTTP, or one
// of those given, which count to the reader.
func badLines(counting []string) []string {
	lines := []string{
		"Content-Length : 4", "Content-Length\t: 4", "Content Length: 4", " Content-Length: 4", "Content-Length\x00: 4", "Transfer-Encoding : chunked", " Transfer-Encoding: chunked",
		"Connection : close",
		"X-Trace : b", "X Trace: b", " X-Trace: b", "\tX-Trace: b", " ", "\t",
		": b", " : b", "X-Trace", "X-Trace b", "X-Trace\r: b", "X\rTrace: b", "\rX-Trace: b", "X\x80: b", "\xefX: b",
		"X-Trace: a\x00b", "X-Trace: a\rb", "X-Trace: a\x01b", "X-Trace: a\x7fb",
	}
	for _, name := range counting {
		lines = append(lines, name+" : 1", " "+name+": 1", name+"\x01: 1", name)
	}
	for b := range byte(0x20) {
		if b != '\n' && b != '\r' {
			lines = append(lines, "X"+string(rune(b))+"Y: b")
		}
	}
	for _, b := range "\x7f\"(),/;<=>?@[\\]{}" {
		lines = append(lines, "X"+string(b)+"Y: b")
	}
	return lines
}

// BadFields returns messages that are no answers by a line of their head that is no field
// line, or is folded. Without that line they are sound. The names given count to the reader.
func BadFields(counting ...string) []Message {
	const length = "Content-Length: {length}\r\n"
	var all []Message
	for _, line := range badLines(counting) {
		name := fmt.Sprintf("%q", line)
		all = append(all,
			Message{name, "HTTP/1.1 200 OK\r\n{fields}" + line + "\r\n\r\n{body}"},
			Message{name + " first", "HTTP/1.1 200 OK\r\n" + line + "\r\n{fields}\r\n{body}"},
			Message{name + " beside a length", "HTTP/1.1 200 OK\r\n{fields}" + line + "\r\n" + length + "\r\n{body}"},
			Message{name + " of an informational answer", "HTTP/1.1 103 Early Hints\r\nA: b\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n{fields}\r\n{body}"},
		)
	}
	return all
}

// BadTrailers returns messages with a trailer that holds a line that is no field line, or is
// folded. The body is whole before it. The names given count to the reader.
func BadTrailers(counting ...string) []Message {
	const whole = "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{chunk}\r\n0\r\n"
	var all []Message
	for _, line := range badLines(counting) {
		name := fmt.Sprintf("trailer %q", line)
		all = append(all,
			Message{name, whole + line + "\r\n\r\n"},
			Message{name + " after another", whole + "A: b\r\n" + line + "\r\n\r\n"},
		)
	}
	return all
}

// LegalNames returns field names that are unusual and legal.
func LegalNames() []string {
	names := []string{"X_Trace", "x.trace", "!#$%&'*+.^`|~", "X-Very-Long-" + strings.Repeat("Name-", 40)}
	for _, b := range "!#$%&'*+-.^_`|~09azAZ" {
		names = append(names, string(b), "X"+string(b)+"y")
	}
	return names
}

// BadFramings returns messages that are no answers, since where they end isn't told, or is
// told in two ways.
func BadFramings() []Message {
	var all []Message
	for _, lines := range []string{
		"Content-Length: {length}\r\nContent-Length: 4", "Content-Length: {length}, 4", "Content-Length: -1", "Content-Length: +{length}", "Content-Length: {length}x",
		"Content-Length: ", "Content-Length: 4 4", "Content-Length: 0x4", "Content-Length: 99999999999999999999", "Content-Length: 99999",
	} {
		all = append(all, Message{fmt.Sprintf("%q", lines), "HTTP/1.1 200 OK\r\n{fields}" + lines + "\r\n\r\n{body}"})
	}
	for _, lines := range []string{
		"Transfer-Encoding: gzip", "Transfer-Encoding: identity", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, gzip", "Transfer-Encoding: chunked, chunked",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "Transfer-Encoding: ", "Transfer-Encoding: xchunked",
		"Transfer-Encoding: chunked\r\nContent-Length: {length}", "content-length: 4\r\ntransfer-encoding: chunked", "Content-Length: 0\r\nTransfer-Encoding: chunked",
	} {
		all = append(all, Message{fmt.Sprintf("%q", lines), "HTTP/1.1 200 OK\r\n{fields}" + lines + "\r\n\r\n{chunk}\r\n0\r\n\r\n"})
	}
	for _, body := range []string{
		"{chunk}\r\n", "{chunk}\r\n0\r\n", "{chunk}\r\n0", "{chunk}0\r\n\r\n", "{chunk}x\r\n0\r\n\r\n", "-1\r\n\r\n", "+1\r\nx\r\n0\r\n\r\n", "0x1\r\nx\r\n0\r\n\r\n", "\r\n{body}", "g\r\n{body}\r\n0\r\n\r\n",
	} {
		all = append(all, Message{fmt.Sprintf("chunks %q", body), "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n" + body})
	}
	return append(all, Message{"chunks of HTTP/1.0", "HTTP/1.0 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{chunk}\r\n0\r\n\r\n"})
}

// BadHeads returns some of the messages whose head shows that they are no answers.
func BadHeads() []Message { return append(Some(BadStatuses()), Some(BadFields())...) }

// BadMessages returns some of the messages that are no answers, as their reader is told
// before the body or at its end.
func BadMessages() []Message {
	return append(append(BadHeads(), Some(BadFramings())...), Some(BadTrailers())...)
}

// someOf is of how many messages Some returns one. It has no factor in common with the number
// of forms that BadFields gives each line, so that all of them are among those returned.
const someOf = 7

// Some returns a part of a table of messages, for tests that open connections for each.
func Some(messages []Message) []Message {
	var some []Message
	for i := 0; i < len(messages); i += someOf {
		some = append(some, messages[i])
	}
	return some
}

// Reader reads an answer from an address.
type Reader func(ctx context.Context, address string) error

// Misread returns the messages, by name, that a reader of answers takes as it should not: one
// that is no answer without an error, or one that is with an error. They come with fields and
// a body that the reader understands.
func Misread(ctx context.Context, read Reader, fields, body string, bad []Message) ([]string, error) {
	var text atomic.Pointer[string]
	address, stop, err := Script(func(c *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, *text.Load())
	})
	if err != nil {
		return nil, err
	}
	defer stop()
	fields += "Connection: close\r\n" // as Script does after each
	var names []string
	try := func(messages []Message, sound bool) {
		for _, m := range messages {
			sent := m.With(fields, body)
			text.Store(&sent)
			if got := read(ctx, address); (got == nil) != sound {
				names = append(names, fmt.Sprintf("%s: %v", m.Name, got))
			}
		}
	}
	try(bad, false)
	try(SoundMessages(), true)
	return names, nil
}
