// Package reply decides whether what a server sent over an HTTP/1.1 connection is an answer
// to a request, as RFC 9110 and RFC 9112 have it. All that the programs read of answers over
// HTTP/1.1 comes through a Conn or a Transport of this package, so that a message that is no
// answer is an error to every reader.
//
// No answer is a message
//
//   - that ends with its connection, rather than where a length or a last chunk says so, if
//     the connection failed or the request had not been sent whole (RFC 9112, section 8),
//   - whose status line is not of HTTP/1, or states no status from 100 to 599, or a change of
//     the protocol that wasn't asked for (RFC 9112, section 4; RFC 9110, section 15). Other
//     statuses below 200 are those of informational answers, which come before the final one,
//   - one of whose field lines has a name that is no token, a value with a control byte
//     other than a tab, or begins with a blank (RFC 9112, section 5; RFC 9110, section 5).
//     That holds for informational heads and for trailers, too,
//   - or that states a transfer coding beside a length, or in HTTP/1.0, which knows none (RFC
//     9112, sections 6.1 and 6.3).
//
// The package decodes no content, retries nothing and doesn't tell whether a request has run.
// The reading of lengths and chunks is left to net/http, and so is HTTP/2.
package reply
