package conf

import "time"

// MaxSize is the largest number of instances that a replica may span.
const MaxSize = 64

// The defaults for values that are absent from a document, in the units of the
// fields.
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

// Fill returns the document with defaults in place of absent values. Maps whose
// entries change are copied; the argument is not modified.
func Fill(d Document) Document {
	d.Capacity = fillCapacity(d.Capacity)
	d.Limits = fillLimits(d.Limits)
	accounts := make(map[string]Account, len(d.Accounts))
	for name, a := range d.Accounts {
		a.Weight = orDefault(a.Weight, defaultWeight)
		accounts[name] = a
	}
	d.Accounts = accounts
	services := make(map[string]Service, len(d.Services))
	for name, s := range d.Services {
		s.Timeout = orDefault(s.Timeout, Duration(defaultTimeout))
		s.Inflight = orDefault(s.Inflight, defaultInflight)
		services[name] = s
	}
	d.Services = services
	return d
}

func fillCapacity(c Capacity) Capacity {
	c.Spread = orDefault(c.Spread, defaultSpread)
	c.Loads = orDefault(c.Loads, defaultLoads)
	c.Ramp.Start = orDefault(c.Ramp.Start, defaultStart)
	c.Ramp.Step = orDefault(c.Ramp.Step, defaultStep)
	c.Ramp.Full = orDefault(c.Ramp.Full, defaultFull)
	return c
}

func fillLimits(l Limits) Limits {
	l.Body = orDefault(l.Body, defaultBody)
	l.Tokens = orDefault(l.Tokens, defaultTokens)
	l.Request = orDefault(l.Request, Duration(defaultRequest))
	l.First = orDefault(l.First, Duration(defaultFirst))
	l.Gap = orDefault(l.Gap, Duration(defaultGap))
	l.Queue = orDefault(l.Queue, defaultQueue)
	l.Wait = orDefault(l.Wait, Duration(defaultWait))
	l.Retries = orDefault(l.Retries, defaultRetries)
	l.Window = orDefault(l.Window, Duration(defaultWindow))
	l.Entries = orDefault(l.Entries, Duration(defaultEntries))
	return l
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
