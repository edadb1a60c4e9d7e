// Package fakes holds small stand-ins for what surrounds the daemons: the
// network, the platform's key-value service, model engines and plain services.
// Tests use them under testing/synctest; cmd/chfake runs them as processes.
//
// They keep the contracts that the clients rely on and can be made to fail.
// They model no real engine's speed, and the product does not import them.
package fakes
