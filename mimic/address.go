package mimic

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports below those that the kernel gives to outgoing connections: one of these
// could be taken between its choice and its use.
const (
	firstPort = 20000
	ports     = 12000
	portsEach = 400 // apart by process
)

var portsTaken atomic.Int64

// Address returns a loopback address for a process that is to be started. It
// panics where no port is free.
func Address() string {
	for range ports {
		n := int64(os.Getpid())*portsEach + portsTaken.Add(1)
		at := fmt.Sprintf("127.0.0.1:%d", firstPort+n%ports)
		listener, err := net.Listen("tcp4", at)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return at
	}
	panic("mimic: no port is free")
}
