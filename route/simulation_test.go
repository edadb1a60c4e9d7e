package route

import (
	"container/list"
	"encoding/json"
	"fmt"
	"time"

	"clementinehead.example/chead/chart"
	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/edit"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/store"
	"clementinehead.example/chead/view"
)

// testView returns a view of replicas spread evenly over failure domains of one
// region, all serving one model to one account.
func testView(replicas, domains int) *view.View {
	document := conf.Document{
		Groups:   map[string]conf.Group{"g": {Model: "m", Accounts: []string{"a"}}},
		Accounts: map[string]conf.Account{"a": {}},
		Domains:  map[string]conf.Domain{},
	}
	fabrics := make([]fleet.Fabric, domains)
	for i := range fabrics {
		name := fmt.Sprintf("z%d", i)
		fabrics[i] = fleet.Fabric{Name: name, Domain: name}
		document.Domains[name] = conf.Domain{Region: "coast"}
	}
	for i := range replicas {
		f := &fabrics[i%domains]
		f.Replicas = append(f.Replicas, testReplica(i))
	}
	values := map[string]any{fleet.ConfKey: edit.Envelope{Document: document}}
	for _, f := range fabrics {
		values[fleet.Key(f.Name)] = f
	}
	return viewOf(values)
}

func testReplica(i int) fleet.Replica {
	r := fleet.Replica{ID: fmt.Sprintf("r%03d", i), Group: "g", State: chart.Serving, Fence: 1}
	for j := range 4 {
		instance := fmt.Sprintf("i%03d-%d", i, j)
		r.Members = append(r.Members, fleet.Member{Instance: instance, Address: instance + ":1", Boot: 1})
	}
	return r
}

func viewOf(values map[string]any) *view.View {
	entries := map[string]store.Entry{}
	for key, value := range values {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		entries[key] = store.Entry{Key: key, Value: data, Revision: 1}
	}
	v, err := view.New(entries)
	if err != nil {
		panic(err)
	}
	return v
}

// endpoint simulates an endpoint with a prefix cache.
type endpoint struct {
	running int
	blocks  map[uint64]*list.Element // cached blocks
	recency list.List                // cached blocks, most recently used first
}

const (
	endpointLimit = 8                      // requests at once
	cacheBlocks   = 400                    // capacity of the cache
	baseTime      = 50 * time.Millisecond  // to the first token, if all blocks are cached
	blockTime     = 5 * time.Millisecond   // to compute a block that is not cached
	answerTime    = 500 * time.Millisecond // from the first token to the end

	// serviceTime is the duration of a request of usual length without cached
	// blocks.
	serviceTime = answerTime + 250*time.Millisecond
)

// firstToken returns the time to the first token and the number of cached
// blocks, and adds the prefix to the cache.
func (e *endpoint) firstToken(prefix []uint64) (time.Duration, int) {
	found := 0
	for found < len(prefix) && e.blocks[prefix[found]] != nil {
		found++
	}
	for _, block := range prefix {
		e.touch(block)
	}
	slow := 1 + float64(e.running)/endpointLimit
	missing := time.Duration(len(prefix)-found) * blockTime
	return time.Duration(slow * float64(baseTime+missing)), found
}

// touch marks a block as most recently used and evicts the least recently used
// one if the cache is full.
func (e *endpoint) touch(block uint64) {
	if element := e.blocks[block]; element != nil {
		e.recency.MoveToFront(element)
		return
	}
	e.blocks[block] = e.recency.PushFront(block)
	if e.recency.Len() > cacheBlocks {
		last := e.recency.Back()
		delete(e.blocks, last.Value.(uint64))
		e.recency.Remove(last)
	}
}
