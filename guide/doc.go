// Package guide holds two HTTP handlers: one answers callers with the addresses of
// the daemons to connect to, the other answers the platform's readiness checks. It
// does not decide which daemons are ready.
package guide
