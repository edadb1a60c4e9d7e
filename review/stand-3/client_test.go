package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client got: the status is 0 if it got none.
type answer struct {
	status int
	body   string
	signed bool
	err    error
}

// send sends one GET request on a connection of its own.
func send(address, path, id, key string, deadline time.Duration) answer {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline + time.Second))
	authorization := ""
	if key != "" {
		authorization = "Authorization: Bearer " + key + "\r\n"
	}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: front.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n",
		path, id, deadline.Milliseconds(), authorization); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return answer{status: resp.StatusCode, body: string(body), signed: resp.Header.Get("X-Server-Signature") != "", err: err}
}
