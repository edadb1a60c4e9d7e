package conf

import "time"

// MaxSize is the largest number of instances that a replica may span.
const MaxSize = 64

// The values that stand where a document says nothing.
const (
	defaultSpread   = 1
	defaultLoads    = 4
	defaultStart    = 1
	defaultStep     = 4
	defaultFull     = 16
	defaultBody     = 4 << 20 // bytes
	defaultTokens   = 8192
	defaultRequest  = 2 * time.Minute
	defaultFirst    = 10 * time.Second
	defaultGap      = 5 * time.Second
	defaultQueue    = 64
	defaultWait     = 2 * time.Second
	defaultRetries  = 0.1
	defaultWindow   = 24 * time.Hour
	defaultEntries  = 30 * time.Second
	defaultWeight   = 1
	defaultTimeout  = 30 * time.Second
	defaultInflight = 64
)

// Fill returns the document with defaults in the place of absent values. Maps
// are copied where an entry changes; the argument stays as it was.
func Fill(d Document) Document {
	d.Capacity = fillCapacity(d.Capacity)
	d.Limits = fillLimits(d.Limits)
	accounts := make(map[string]Account, len(d.Accounts))
	for name, a := range d.Accounts {
		a.Weight = or(a.Weight, defaultWeight)
		accounts[name] = a
	}
	d.Accounts = accounts
	services := make(map[string]Service, len(d.Services))
	for name, s := range d.Services {
		s.Timeout = or(s.Timeout, Duration(defaultTimeout))
		s.Inflight = or(s.Inflight, defaultInflight)
		services[name] = s
	}
	d.Services = services
	return d
}

func fillCapacity(c Capacity) Capacity {
	c.Spread = or(c.Spread, defaultSpread)
	c.Loads = or(c.Loads, defaultLoads)
	c.Ramp.Start = or(c.Ramp.Start, defaultStart)
	c.Ramp.Step = or(c.Ramp.Step, defaultStep)
	c.Ramp.Full = or(c.Ramp.Full, defaultFull)
	return c
}

func fillLimits(l Limits) Limits {
	l.Body = or(l.Body, defaultBody)
	l.Tokens = or(l.Tokens, defaultTokens)
	l.Request = or(l.Request, Duration(defaultRequest))
	l.First = or(l.First, Duration(defaultFirst))
	l.Gap = or(l.Gap, Duration(defaultGap))
	l.Queue = or(l.Queue, defaultQueue)
	l.Wait = or(l.Wait, Duration(defaultWait))
	l.Retries = or(l.Retries, defaultRetries)
	l.Window = or(l.Window, Duration(defaultWindow))
	l.Entries = or(l.Entries, Duration(defaultEntries))
	return l
}

func or[T comparable](value, otherwise T) T {
	var zero T
	if value == zero {
		return otherwise
	}
	return value
}
