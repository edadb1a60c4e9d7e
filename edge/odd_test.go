package edge

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Guards against LOST: an odd entry of another writer among those of the endpoints ended
// the daemons that read the list, or they stopped following it.
func TestOddEntryAmongEndpoints(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for some seconds")
	}
	c := newCluster(t, 4, 2)
	serves := func(d int, path, key string) bool {
		status, _ := c.call(c.daemons[d].Caller, path, c.nextID(), key)
		return status == http.StatusOK
	}
	allServe := func(key string) bool {
		return serves(0, "/file/", key) && serves(1, "/file/", key) && serves(0, "/talk/", key) && serves(1, "/talk/", key)
	}
	await(t, "all daemons serve", 15*time.Second, func() bool { return allServe("good-key") })
	whole := `{"service":"plain","address":"127.0.0.1:9","zone":"north","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"born":7,"sequence":1}`
	oddly := func(field, value string) string { return strings.Replace(whole, field, value, 1) }
	key := "good-key"
	for i, odd := range []string{
		strings.Repeat("[", 100_000),
		strings.Repeat(`{"a":`, 9_000) + "1" + strings.Repeat("}", 9_000),
		oddly(`"slots":8`, `"slots":9223372036854775807`),
		oddly(`"slots":8`, `"slots":1e400`),
		oddly(`"cold_remaining_ms":0`, `"cold_remaining_ms":1e300`),
		oddly("127.0.0.1:9", "127.0.0.1:70000"),
		oddly("127.0.0.1:9", "127.0.0.1:-1"),
		oddly(`{"service":"plain"`, `{"domain":"f1","models":[{"name":"m"}],"group":{"name":"g","epoch":9223372036854775807,"rank":9223372036854775807,"state":"open"},"service":"engines"`),
		oddly(`"born":7`, `"born":9223372036854775807,"active":9223372036854775807,"pace":1e308`),
	} {
		t.Run(odd[:min(len(odd), 100)], func(t *testing.T) {
			for n := range 3 {
				c.store.Put(fmt.Sprintf("servers/odd-%d-%d", i, n), []byte(odd))
			}
			time.Sleep(300 * time.Millisecond)
			for range 3 {
				if !allServe(key) {
					t.Error("a request wasn't served")
				}
			}
			last := key
			key = "key-" + strconv.Itoa(i)
			c.configure(i+2, key)
			c.awaitRefused(t, last) // the list is followed
		})
	}
}
