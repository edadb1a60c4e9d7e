// Package pick decides which endpoint a request is sent to, how long it may wait
// for a free slot, and when it is refused instead. It also limits retries. It
// sends nothing itself.
//
// A slot is the right to have one request in progress at one endpoint. A daemon
// acquires it before it sends a request and releases it when the request ends.
// Requests that find no free slot wait in a queue for each model or plain
// service. A request is in time while it can still be answered within its
// latency target, and late afterwards.
//
// Placer holds the state: the requests of this daemon at each endpoint, the load
// that the other daemons report, and the queues. Choose, Admit and Budget are
// the policies that it applies; they do no input or output and read no clock.
package pick
