// Package route decides in which order an entry tries the replicas that offer
// a model.
//
// Requests that share a prefix go to the same home replica, so that its prefix
// cache serves them all. Homes come from rendezvous hashing (Thaler and
// Ravishankar, "Using name-based mappings to increase hit rates", 1998): every
// daemon finds the same home without a message. A home that is full is passed
// over for a moment, as in consistent hashing with bounded loads (Mirrokni,
// Thorup and Zadimoghaddam, 2018). That moment is short, because asking a gate
// that refuses at once costs less than a prefix that is computed elsewhere.
// What is known of loads comes with the gates' answers and costs no message of
// its own.
//
// The package gives no permits and opens no connections. A wrong guess costs a
// refused permit, never a wrong dispatch: whether a replica may serve is the
// business of its gate.
package route
