package front

import (
	"runtime"
	"testing"
	"time"
)

// BenchmarkHeldStreams measures the memory of streams whose callers don't read, in use by the
// heap and by stacks: for each stream, and for each byte held. The stubs are in it.
func BenchmarkHeldStreams(b *testing.B) {
	const streams = 100
	for name, last := range map[string]int{"100KB": 200, "400KB": 500} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				held, heap := heldStreams(b, streams, last)
				b.ReportMetric(float64(held)/streams, "held-B/stream")
				b.ReportMetric(float64(heap)/streams, "heap-B/stream")
				b.ReportMetric(float64(heap)/float64(held), "heap-B/held-B")
			}
		})
	}
}

// heldStreams returns the bytes held for streams of last events, and those of the heap.
func heldStreams(b *testing.B, streams, last int) (held, heap int64) {
	t := &testing.T{}
	var stubs []*stub
	for range streams / 4 { // slots
		stubs = append(stubs, newStub(t, "s"+string(rune('a'+len(stubs))), longStream(last, 0, 0, time.Minute)))
	}
	f := newFixture(t, "engines", stubs...)
	address := f.smallBuffers(b)
	before := heapInUse()
	for range streams {
		dialSlow(b, address, "/tell/", 3*time.Second)
	}
	for last := int64(-1); f.front.options.Hold.State().Held > last; time.Sleep(300 * time.Millisecond) {
		last = f.front.options.Hold.State().Held
	}
	return f.front.options.Hold.State().Held, heapInUse() - before
}

// heapInUse returns the bytes in use by the heap and the stacks.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
