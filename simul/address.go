package simul

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The ports are below the range from which the kernel assigns ports of outgoing
// connections. A port of that range could be taken between its choice and its use.
const (
	firstPort       = 20000
	portRange       = 12000
	portsPerProcess = 400 // offset between the ports of two processes with consecutive ids
)

// portsTried counts the ports that this process has tried.
var portsTried atomic.Int64

// Address returns a loopback address with a free port, for a process that is about
// to be started. It panics if no port is free.
func Address() string {
	for range portRange {
		n := int64(os.Getpid())*portsPerProcess + portsTried.Add(1)
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+n%portRange)
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address
	}
	panic("simul: no port is free")
}
