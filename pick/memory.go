package pick

import "clementinehead.example/chead/site"

// An engine holds the tokens of a request, its prompt and what it has written, until the
// request ends. One that holds more than its memory preempts requests or crashes. The
// daemons know of each other's tokens as of each other's requests. They count them only
// where the slots of an endpoint may not fit into its memory.

const (
	hintReserve  = 2 // multiple of the expected answer that is reserved, up to the most that may be written
	spareFactor  = 4 // multiple of the usual tokens for all slots from which memory is no matter
	memoryMargin = 8 // the part of the memory that is left free is one in so many, as reports are late
)

// memoryMatters reports whether requests of the usual size in all slots of an endpoint come
// near its memory.
func memoryMatters(e *site.Engine) bool {
	usual := float64(e.Slots) * (e.Prompt + e.Answer)
	return e.Memory > 0 && spareFactor*usual > float64(e.Memory)
}

// tokensOf returns the tokens that are reserved for a request.
func tokensOf(r Request) int {
	answer := hintReserve * r.AnswerTokens
	if r.MaxAnswer > 0 {
		answer = min(answer, r.MaxAnswer)
	}
	return r.PromptTokens + answer
}

// tokens returns what a request reserves at an endpoint of a service, 0 where memory is no
// matter.
func (p *Placer) tokens(r Request) int {
	service, _ := p.service(r.Service)
	if service.Engine == nil || !memoryMatters(service.Engine) {
		return 0
	}
	return tokensOf(r)
}

// lacksMemory reports whether a request doesn't fit into what is left of an endpoint's
// memory. One that is alone there always does.
func (s *endpointState) lacksMemory(e *site.Engine, tokens int) bool {
	held := s.tokens + s.othersTokens
	if held == 0 {
		return false
	}
	return held+tokens > e.Memory-e.Memory/memoryMargin
}

// tooLarge reports whether a request that has not run doesn't fit into the memory of any
// endpoint.
func (p *Placer) tooLarge(r Request) bool {
	service, _ := p.service(r.Service)
	e := service.Engine
	return e != nil && e.Memory > 0 && !r.Begun && !r.Resumed && r.PromptTokens+r.AnswerTokens > e.Memory
}
