package tally

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/wire"
)

// The range of the histograms in microseconds, and their precision.
const (
	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 2 // decimal
)

// label is the set of properties by which requests are counted.
type label struct {
	account string
	model   string
	adapter string
	version string
	outcome string
	ran     engine.Ran
	hour    int64 // start of the hour, Unix seconds
}

// counter is the cumulative count under one label.
type counter struct {
	requests   uint64
	tokens     uint64
	firstToken *hdrhistogram.Histogram // microseconds
	tokenGap   *hdrhistogram.Histogram // microseconds
	changed    uint64                  // sequence of the usage counts that first contain the latest change
}

func newCounter() *counter {
	return &counter{
		firstToken: hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
		tokenGap:   hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
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
	if s.FirstToken > 0 {
		record(c.firstToken, s.FirstToken)
	}
	for _, gap := range s.TokenGaps {
		record(c.tokenGap, gap)
	}
}

// record adds a duration to h. A duration outside the histogram's range counts as
// the nearest bound.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	value := min(max(d.Microseconds(), lowestMicros), highestMicros)
	// The only error is a value out of range, which the line above prevents.
	_ = h.RecordValue(value)
}

func (c *counter) message(l label) (*wire.Count, error) {
	firstToken, err := encode(c.firstToken)
	if err != nil {
		return nil, err
	}
	tokenGap, err := encode(c.tokenGap)
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
		FirstToken: firstToken,
		Gap:        tokenGap,
	}, nil
}

// encode returns the encoded histogram, nil for an empty one.
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

// decode is the inverse of encode. It returns an empty histogram for no data.
func decode(data []byte) (*hdrhistogram.Histogram, error) {
	if len(data) == 0 {
		return hdrhistogram.New(lowestMicros, highestMicros, significantDigits), nil
	}
	h, err := hdrhistogram.Decode(data)
	if err != nil {
		return nil, &Error{Op: "decode", Kind: Unreadable, Err: err}
	}
	return h, nil
}
