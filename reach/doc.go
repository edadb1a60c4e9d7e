// Package reach tells whether this daemon reaches endpoints at all. An endpoint that can't
// be reached says little: it may be dead. If several can't, and none was reached since, the
// daemon is in doubt, and asks some endpoints over new connections. If none answers it is
// cut off: the path is at fault, not the endpoints. It isn't if there is evidence that they
// are slow: bytes that come over open connections, or other daemons that reach none either.
// Then it goes on. The package does not decide what follows from it, and does not judge
// single endpoints.
package reach
