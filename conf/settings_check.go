package conf

import (
	"net/url"
	"strconv"
)

// CheckSettings returns every fault of the settings of a daemon, in the order
// of the fields.
func CheckSettings(s Settings) []*Error {
	c := &checker{}
	c.required("domain", s.Domain)
	c.required("region", s.Region)
	c.address("caller", s.Caller)
	c.address("peer", s.Peer)
	c.address("operator", s.Operator)
	c.url("store", s.Store)
	c.url("platform", s.Platform)
	for i, seed := range s.Seeds {
		c.address("seeds."+strconv.Itoa(i), seed)
	}
	if s.Secret != nil {
		c.hash("", "secret", *s.Secret) // an empty one doesn't mean that no key is needed
	}
	return c.faults
}

func (c *checker) required(path, value string) {
	if value == "" {
		c.add(Missing, "", path, "must be given")
	}
}

func (c *checker) address(path, value string) {
	if reason := addressFault(value); reason != "" {
		c.add(Range, "", path, "%s", reason)
	}
}

func (c *checker) url(path, value string) {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" {
		c.add(Range, "", path, "must be an URL such as http://127.0.0.1:9000, is %q", value)
	}
}
