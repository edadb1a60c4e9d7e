package fakes

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"time"
)

// endlessWrite is how many bytes an endpoint of Endless writes at once, at least.
const endlessWrite = 16 << 10

// Endless starts an endpoint that answers each request with a beginning and then, until the
// caller closes, with the same bytes. It ends as stop is called.
func Endless(begin, again string) (address string, stop func(), err error) {
	again = strings.Repeat(again, 1+endlessWrite/len(again))
	return Script(func(c *net.TCPConn, _ *http.Request) {
		for text := begin; ; text = again {
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	})
}

// heapPeriod is between two looks of PeakHeap.
const heapPeriod = 2 * time.Millisecond

// PeakHeap runs work and returns by how many bytes the heap of this process grew meanwhile,
// at the most, as far as a look each heapPeriod shows.
func PeakHeap(work func()) int64 {
	runtime.GC()
	before := heapBytes()
	var peak atomic.Int64
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(heapPeriod):
				peak.Store(max(peak.Load(), heapBytes()-before))
			}
		}
	}()
	work()
	close(stop)
	<-stopped
	return peak.Load()
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
