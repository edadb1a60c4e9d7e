package simul

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// The ports are below the range from which the kernel assigns ports of outgoing
// connections. A port of that range could be taken between its choice and its use.
const (
	firstPort     = 20000
	blocks        = 30
	portsPerBlock = 400 // the first of them is listened on by the process that has the block
)

// block is a number of ports that no other process gets from Address.
type block struct {
	guard       net.Listener // open until the process ends
	first, last int          // ports
}

// own holds the blocks of this process.
var own struct {
	sync.Mutex
	blocks []block
	next   int // port, of the last of the blocks
}

// Address returns a loopback address with a free port, for a process that is about
// to be started. No other process gets it from its own Address. It panics if no port is
// free.
func Address() string {
	own.Lock()
	defer own.Unlock()
	for tried := 0; ; tried++ {
		if len(own.blocks) == 0 || tried == portsPerBlock {
			own.blocks = append(own.blocks, claim(os.Getpid()))
			own.next = own.blocks[len(own.blocks)-1].first
			tried = 0
		}
		present := own.blocks[len(own.blocks)-1]
		address := loopback(own.next)
		if own.next++; own.next > present.last {
			own.next = present.first
		}
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address
	}
}

// claim returns the first block that no process has, from one by the process ID on.
func claim(pid int) block {
	for i := range blocks {
		port := firstPort + (pid+i)%blocks*portsPerBlock
		if guard, err := net.Listen("tcp4", loopback(port)); err == nil {
			return block{guard: guard, first: port + 1, last: port + portsPerBlock - 1}
		}
	}
	panic("simul: no port is free")
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
