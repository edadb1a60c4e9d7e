// Package route decides in which order an entry tries the replicas that offer
// a model.
//
// Requests that share a prefix go to the same home replica, so that its prefix
// cache serves them all. Homes come from rendezvous hashing (Thaler and
// Ravishankar, "Using name-based mappings to increase hit rates", 1998): every
// daemon finds the same home without a message. A home that is loaded above
// its share is passed over (Mirrokni, Thorup and Zadimoghaddam, "Consistent
// hashing with bounded loads", 2018). What is known of loads comes with the
// gates' answers and costs no message of its own.
//
// The package gives no permits and opens no connections. A wrong guess costs a
// refused permit, never a wrong dispatch: whether a replica may serve is the
// business of its gate.
package route
