// Package site defines the types that describe a deployment: the routes, client
// accounts, services and limits that operators configure, the endpoints that the
// platform lists, and the daemons. It holds values and lookups in them, such as
// that of a request's route. It makes no calls and no decisions.
package site
