package front

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"clementinehead.example/chead/platform"
)

const (
	crashInterval  = 3 * time.Second  // crashes of one endpoint within this time count as one
	maxCrashes     = 3                // a request with this many crashes is refused
	crashRetention = 60 * time.Second // a crash counts for this long
	maxRecords     = 4096             // records held before old ones are removed
)

// Crashes counts the endpoint crashes during each request, so that a request that
// crashes endpoints is refused instead of being retried everywhere. Requests are
// identified by a digest of their method, target, key and body. A request that is
// served completely clears its record, so that a request which was merely in
// progress during crashes that others caused is not refused. Daemons exchange
// their counts. The zero value is ready to use, and safe for concurrent use.
type Crashes struct {
	mu      sync.Mutex
	records map[string]crashRecord // by digest
}

// crashRecord holds the crashes during one request.
type crashRecord struct {
	count     int       // crashes recorded by this daemon
	remote    int       // crashes reported by other daemons
	endpoint  string    // the last one that crashed
	lastCrash time.Time // recorded here or reported
	served    time.Time // when such a request was last served completely
}

// digest returns a hash that identifies a request across retries by its caller.
func digest(j *job) string {
	d := xxhash.New()
	_, _ = d.WriteString(j.r.Method + "\x00" + j.r.RequestURI + "\x00" + platform.APIKey(j.r.Header) + "\x00")
	_, _ = d.Write(j.body)
	return strconv.FormatUint(d.Sum64(), 36)
}

// Add records the crash of an endpoint during a request. It returns the number of
// crashes that this daemon has recorded for the request.
func (c *Crashes) Add(digest, endpoint string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.records == nil {
		c.records = map[string]crashRecord{}
	}
	if len(c.records) >= maxRecords {
		c.sweep(time.Now())
	}
	record := c.records[digest]
	if record.endpoint == endpoint && time.Since(record.lastCrash) < crashInterval {
		return record.count
	}
	record.count++
	record.endpoint = endpoint
	record.lastCrash = time.Now()
	c.records[digest] = record
	return record.count
}

// Clear records that a request was served completely, and resets its count.
func (c *Crashes) Clear(digest string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if record, known := c.records[digest]; known {
		record.count = 0
		record.served = time.Now()
		c.records[digest] = record
	}
}

// Blocked reports whether a request is refused because of crashes. Reports of
// other daemons don't count within crashRetention after the request was served
// here.
func (c *Crashes) Blocked(digest string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	record := c.records[digest]
	if time.Since(record.served) < crashRetention {
		return record.count >= maxCrashes
	}
	return record.count+record.remote >= maxCrashes && time.Since(record.lastCrash) < crashRetention
}

// Counts returns the counts recorded by this daemon, to be sent to the others.
func (c *Crashes) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(time.Now())
	counts := map[string]int{}
	for d, record := range c.records {
		if record.count > 0 {
			counts[d] = record.count
		}
	}
	return counts
}

// SetRemote sets the counts recorded by the other daemons, summed by request.
func (c *Crashes) SetRemote(sums map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.records == nil {
		c.records = map[string]crashRecord{}
	}
	for d, n := range sums {
		record := c.records[d]
		if n > record.remote {
			record.lastCrash = time.Now()
		}
		record.remote = n
		c.records[d] = record
	}
}

// sweep removes the records without a crash within crashRetention.
func (c *Crashes) sweep(now time.Time) {
	for d, record := range c.records {
		if now.Sub(record.lastCrash) > crashRetention {
			delete(c.records, d)
		}
	}
}
