package fakes

import (
	"bufio"
	"net"
	"net/http"
)

// scriptBuffer is how many bytes of a request's body are read with its head, at most.
const scriptBuffer = 512

// Script starts a server that runs script for the first request on each connection, as soon
// as its head has been read, and closes the connection then. It ends as stop is called.
func Script(script func(c *net.TCPConn, r *http.Request)) (address string, stop func(), err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go runScript(c.(*net.TCPConn), script)
		}
	}()
	return listener.Addr().String(), func() { _ = listener.Close() }, nil
}

func runScript(c *net.TCPConn, script func(c *net.TCPConn, r *http.Request)) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReaderSize(c, scriptBuffer))
	if err != nil {
		return
	}
	script(c, r)
}
