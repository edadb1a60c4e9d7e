package tally

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/wire"
)

// The range and precision of the histograms, in microseconds.
const (
	lowest  = 1
	highest = int64(10 * time.Minute / time.Microsecond)
	digits  = 2 // significant decimal digits
)

// label is what requests are counted by.
type label struct {
	account string
	model   string
	adapter string
	version string
	outcome string
	ran     engine.Ran
	hour    int64 // Unix time of the hour's start, seconds
}

// counter is the cumulative count under one label.
type counter struct {
	requests uint64
	tokens   uint64
	first    *hdrhistogram.Histogram // microseconds
	gap      *hdrhistogram.Histogram // microseconds
	changed  uint64                  // sequence of the sheet that first holds its latest change
}

func newCounter() *counter {
	return &counter{
		first: hdrhistogram.New(lowest, highest, digits),
		gap:   hdrhistogram.New(lowest, highest, digits),
	}
}

func labelOf(s Sample) label {
	return label{
		account: s.Account,
		model:   s.Model,
		adapter: s.Adapter,
		version: s.Version,
		outcome: s.Outcome,
		ran:     s.Ran,
		hour:    s.At.Truncate(time.Hour).Unix(),
	}
}

func (c *counter) add(s Sample) {
	c.requests++
	c.tokens += uint64(s.Tokens)
	if s.First > 0 {
		record(c.first, s.First)
	}
	for _, gap := range s.Gaps {
		record(c.gap, gap)
	}
}

// record notes a duration; one out of the histogram's range counts as its end.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	value := min(max(d.Microseconds(), lowest), highest)
	// The value lies in the range, which is the only error there is.
	_ = h.RecordValue(value)
}

func (c *counter) message(l label) (*wire.Count, error) {
	first, err := encode(c.first)
	if err != nil {
		return nil, err
	}
	gap, err := encode(c.gap)
	if err != nil {
		return nil, err
	}
	return &wire.Count{
		Account:    l.account,
		Model:      l.model,
		Adapter:    l.adapter,
		Version:    l.version,
		Hour:       l.hour,
		Outcome:    l.outcome,
		Ran:        ranName(l.ran),
		Requests:   c.requests,
		Tokens:     c.tokens,
		FirstToken: first,
		Gap:        gap,
	}, nil
}

// encode returns nil for an empty histogram.
func encode(h *hdrhistogram.Histogram) ([]byte, error) {
	if h.TotalCount() == 0 {
		return nil, nil
	}
	data, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil, &Error{Op: "encode", Kind: Unreadable, Err: err}
	}
	return data, nil
}

// decode returns an empty histogram for no data.
func decode(data []byte) (*hdrhistogram.Histogram, error) {
	if len(data) == 0 {
		return hdrhistogram.New(lowest, highest, digits), nil
	}
	h, err := hdrhistogram.Decode(data)
	if err != nil {
		return nil, &Error{Op: "decode", Kind: Unreadable, Err: err}
	}
	return h, nil
}
