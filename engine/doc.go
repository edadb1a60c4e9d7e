// Package engine is the client of the endpoints: model engines that offer
// OpenAI-style completions with server-sent events, a load report that lags,
// orders with fencing numbers, and a feed of cache events that is late and has
// gaps.
//
// It makes one attempt a call and says what is known of it. Routing, limits
// and retries are the business of the packages gate and entry.
package engine
