// Package guide holds two HTTP handlers: one answers callers with the addresses of
// daemons to connect to, the other answers the platform's readiness checks. It
// does not decide which daemons are ready. Of more daemons than an answer may name it
// chooses by caller, so that callers use all of them.
package guide
