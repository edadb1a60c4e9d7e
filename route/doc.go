// Package route orders the replicas that offer a model by preference for one
// request.
//
// Requests that share a prompt prefix prefer the same replica, called their
// home, so that its prefix cache serves them all. Homes are chosen by rendezvous
// hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit
// rates", 1998), so every daemon computes the same home without exchanging
// messages. A replica that is at its limit or has just refused a permit is
// ordered last for a short time, as in consistent hashing with bounded loads
// (Mirrokni, Thorup and Zadimoghaddam, 2018). The time is short because a permit
// request that is refused at once costs less than computing the prefix on
// another replica. Loads are known only from the gates' responses, which are
// needed anyway; the package sends no messages.
//
// The package grants no permits and opens no connections. A wrong order costs a
// refused permit, never a wrong dispatch: the gate of a replica decides whether
// it may serve.
package route
