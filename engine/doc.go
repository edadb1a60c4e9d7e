// Package engine is the HTTP client for endpoints. An endpoint is a model engine
// that serves OpenAI-style completions as server-sent events, a load report that
// may be out of date, orders that carry a fencing number, and a feed of
// prefix-cache events that arrive late and with gaps.
//
// Each call makes one attempt, and its error states whether the endpoint may
// have run the request. Routing, limits and retries are done by the packages
// gate and entry.
package engine
