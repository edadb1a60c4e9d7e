package entry

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that hold for a single connection (RFC 9110, section
// 7.6.1), including obsolete ones.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// daemonHeaders are the request headers that are meant for the daemon or that
// it sets itself.
var daemonHeaders = []string{
	"Authorization", "Expect", "Content-Length", "Host",
	headerRequest, headerRepeatable, headerTime, headerAttempt, headerDeadline,
	headerPriority, headerAccount,
}

// endToEnd returns the headers to forward: those that neither are hop-by-hop,
// nor are named by Connection, nor are in drop.
func endToEnd(from http.Header, drop ...string) http.Header {
	to := from.Clone()
	for _, value := range from.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		to.Del(name)
	}
	for _, name := range drop {
		to.Del(name)
	}
	return to
}
