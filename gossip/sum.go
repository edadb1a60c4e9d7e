package gossip

import (
	"clementinehead.example/chead/fair"
	"clementinehead.example/chead/learn"
)

// add adds the loads of a message to a sum.
func (m *Message) add(other Message) {
	m.Term = max(m.Term, other.Term)
	m.Version = max(m.Version, other.Version)
	m.Traffic = m.Traffic || other.Traffic
	m.Rewound = m.Rewound || other.Rewound
	for id, load := range other.Endpoints {
		m.Endpoints[id] = m.Endpoints[id].plus(load)
	}
	for key, n := range other.Demand {
		m.Demand[key] += n
	}
	for key, q := range other.Queues {
		m.Queues[key] = m.Queues[key].plus(q, 1)
	}
	for service, r := range other.Retries {
		m.Retries[service] = m.Retries[service].Plus(r)
	}
	for account, v := range other.Work {
		m.Work[account] += v
	}
	for digest, n := range other.Crashes {
		m.Crashes[digest] += n
	}
	for id, part := range other.Parts {
		m.Parts[id] = m.Parts[id].plus(part, 1)
	}
	for leader, g := range other.Groups {
		if known, ok := m.Groups[leader]; !ok || g.Epoch >= known.Epoch {
			m.Groups[leader] = g
		}
	}
}

// SumParts returns what several daemons know of parts, together.
func SumParts(messages []Message) map[string]PromptPart {
	parts := map[string]PromptPart{}
	for _, m := range messages {
		for id, part := range m.Parts {
			parts[id] = parts[id].plus(part, 1)
		}
	}
	return parts
}

// without returns a sum less the loads of one of its messages. That message may have
// changed since the sum was made, so counts don't go below 0.
func (m Message) without(own Message) Message {
	rest := emptySum(m)
	rest.Endpoints = make(map[string]EndpointLoad, len(m.Endpoints))
	rest.add(m)
	for id, load := range own.Endpoints {
		l, ok := rest.Endpoints[id]
		if !ok {
			continue
		}
		l.Running = max(0, l.Running-load.Running)
		l.UnreadTokens = max(0, l.UnreadTokens-load.UnreadTokens)
		l.Tokens = max(0, l.Tokens-load.Tokens)
		l.Sent = max(0, l.Sent-load.Sent)
		l.Learned = l.Learned.minus(load.Learned)
		rest.Endpoints[id] = l
	}
	for key, n := range own.Demand {
		rest.Demand[key] = max(0, rest.Demand[key]-n)
	}
	for key, q := range own.Queues {
		rest.Queues[key] = rest.Queues[key].plus(q, -1)
	}
	for service, r := range own.Retries {
		rest.Retries[service] = rest.Retries[service].minus(r)
	}
	for account, v := range own.Work {
		rest.takeWork(account, v)
	}
	for id, part := range own.Parts {
		rest.Parts[id] = rest.Parts[id].plus(part, -1)
	}
	for digest, n := range own.Crashes {
		rest.Crashes[digest] = max(0, rest.Crashes[digest]-n)
	}
	return rest
}

// takeWork takes an account's work off a sum: off the rest if the sum doesn't name it.
func (m Message) takeWork(account string, v float64) {
	if _, named := m.Work[account]; !named {
		account = fair.Rest
	}
	if m.Work[account] -= v; m.Work[account] <= 0 {
		delete(m.Work, account)
	}
}

// emptySum returns a message without loads, with the other fields of m.
func emptySum(m Message) Message {
	m.Endpoints = map[string]EndpointLoad{}
	m.Demand = map[string]int{}
	m.Queues = map[string]Queue{}
	m.Retries = map[string]Retries{}
	m.Work = map[string]float64{}
	m.Crashes = map[string]int{}
	m.Parts = map[string]PromptPart{}
	m.Groups = map[string]Group{}
	return m
}

func (l EndpointLoad) plus(other EndpointLoad) EndpointLoad {
	return EndpointLoad{
		Running:      l.Running + other.Running,
		UnreadTokens: l.UnreadTokens + other.UnreadTokens,
		Tokens:       l.Tokens + other.Tokens,
		Leaving:      max(l.Leaving, other.Leaving),
		Slow:         l.Slow || other.Slow,
		Stalled:      l.Stalled || other.Stalled,
		Sent:         l.Sent + other.Sent,
		Limit:        l.Limit.newest(other.Limit),
		Learned:      l.Learned.Plus(other.Learned),
	}
}

// Plus returns what both show of the later life of the endpoint.
func (l Learned) Plus(other Learned) Learned {
	switch {
	case !other.Known() || l.Known() && l.Started > other.Started:
		return l
	case !l.Known() || l.Started < other.Started:
		return other
	}
	return Learned{
		Started: l.Started, Age: min(l.Age, other.Age),
		Gaps: l.Gaps.Plus(other.Gaps).Rounded(), Firsts: l.Firsts.Plus(other.Firsts).Rounded(),
	}
}

// minus returns what is left without a part of it.
func (l Learned) minus(part Learned) Learned {
	if !l.Known() || !part.Known() || l.Started != part.Started {
		return l
	}
	l.Gaps, l.Firsts = l.Gaps.Minus(part.Gaps), l.Firsts.Minus(part.Firsts)
	if l.Gaps == (learn.Sums{}) && l.Firsts == (learn.Sums{}) {
		return Learned{} // a daemon must not take what it said itself for what others say
	}
	return l
}

// newest returns the limit that was stated last: in the later life of the endpoint, or
// by the younger answer.
func (l Limit) newest(other Limit) Limit {
	switch {
	case !other.known():
		return l
	case !l.known(), other.Started > l.Started:
		return other
	case other.Started == l.Started && other.Age < l.Age:
		return other
	}
	return l
}

// plus returns the sum of two queues, the second one times a sign. Nothing goes below 0.
func (q Queue) plus(other Queue, sign int) Queue {
	return Queue{
		InTime:      max(0, q.InTime+sign*other.InTime),
		Late:        max(0, q.Late+sign*other.Late),
		FreeRate:    max(0, q.FreeRate+float64(sign)*other.FreeRate),
		ArrivalRate: max(0, q.ArrivalRate+float64(sign)*other.ArrivalRate),
	}
}

// plus returns the sum of the counts of a part, the second ones times a sign, and the
// longer refusal. Nothing goes below 0.
func (p PromptPart) plus(other PromptPart, sign int) PromptPart {
	return PromptPart{
		Crashes:  max(0, p.Crashes+sign*other.Crashes),
		Survived: max(0, p.Survived+sign*other.Survived),
		Refused:  max(p.Refused, other.Refused),
	}
}
