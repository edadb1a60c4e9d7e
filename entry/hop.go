package entry

import (
	"net/http"
	"strings"
)

// hops are the headers that hold for one connection only (RFC 9110, section
// 7.6.1), and those of old that do.
var hops = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// owned are the headers of requests that are meant for the daemon, or that it
// sets itself.
var owned = []string{
	"Authorization", "Expect", "Content-Length", "Host",
	headerRequest, headerRepeatable, headerTime, headerAttempt, headerDeadline,
	headerPriority, headerAccount,
}

// forward copies the headers that are meant for the other end.
func forward(from http.Header, drop ...string) http.Header {
	to := from.Clone()
	for _, value := range from.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hops {
		to.Del(name)
	}
	for _, name := range drop {
		to.Del(name)
	}
	return to
}
