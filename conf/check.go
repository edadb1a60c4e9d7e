package conf

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	hashSize   = 32       // bytes of a SHA-256
	maxName    = 64       // characters
	maxBody    = 64 << 20 // bytes
	maxWindow  = 30 * 24 * time.Hour
	maxRequest = time.Hour
)

// Check returns every fault of a whole document: references to names that are
// not defined, impossible sizes, values out of range. A zero value is valid for
// a field that Fill has a default for. The faults are sorted by section and
// path.
func Check(d Document) []*Error {
	c := &checker{document: d}
	c.models()
	c.groups()
	c.capacity()
	c.accounts()
	c.domains()
	c.instances()
	c.services()
	c.limits()
	slices.SortStableFunc(c.faults, func(a, b *Error) int {
		return cmp.Or(cmp.Compare(a.Section, b.Section), cmp.Compare(a.Path, b.Path))
	})
	return c.faults
}

// checker collects the faults of one document.
type checker struct {
	document Document
	faults   []*Error
}

func (c *checker) add(kind Kind, section, path, format string, args ...any) {
	c.faults = append(c.faults, &Error{
		Op: "check", Kind: kind, Section: section, Path: path, Reason: fmt.Sprintf(format, args...),
	})
}

// name checks a key of a section. Such keys are used in URLs and metrics.
func (c *checker) name(section, name string) {
	if name == "" || len(name) > maxName {
		c.add(Range, section, name, "a name has 1 to %d characters", maxName)
	}
	if strings.ContainsFunc(name, func(r rune) bool { return !isNameRune(r) }) {
		c.add(Range, section, name, "a name is made of letters, digits and . _ -")
	}
}

func isNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	default:
		return strings.ContainsRune("._-", r)
	}
}

func (c *checker) models() {
	for name, m := range c.document.Models {
		c.name("models", name)
		if len(m.Versions) == 0 {
			c.add(Missing, "models", name+".versions", "a model has at least one version")
		}
		c.unique("models", name+".versions", m.Versions)
		c.unique("models", name+".adapters", m.Adapters)
		if m.Gigabyte <= 0 {
			c.add(Range, "models", name+".gigabyte", "must be above 0, is %v", m.Gigabyte)
		}
	}
}

// unique checks a list of names for empty and repeated names.
func (c *checker) unique(section, path string, names []string) {
	seen := map[string]bool{}
	for i, name := range names {
		at := path + "." + strconv.Itoa(i)
		if name == "" {
			c.add(Missing, section, at, "must not be empty")
		}
		if seen[name] {
			c.add(Clash, section, at, "%q stands twice", name)
		}
		seen[name] = true
	}
}

func (c *checker) groups() {
	for name, g := range c.document.Groups {
		c.name("groups", name)
		c.groupModel(name, g)
		c.between("groups", name+".size", g.Size, 1, MaxSize)
		c.atLeast("groups", name+".replicas", float64(g.Replicas), 0)
		c.accountRefs("groups", name+".accounts", g.Accounts)
	}
}

// groupModel checks that the model of a group exists and has the version and
// the adapter of the group.
func (c *checker) groupModel(name string, g Group) {
	model, ok := c.document.Models[g.Model]
	if !ok {
		c.add(Dangling, "groups", name+".model", "there is no model %q", g.Model)
		return
	}
	if !slices.Contains(model.Versions, g.Version) {
		c.add(Dangling, "groups", name+".version", "model %q has no version %q", g.Model, g.Version)
	}
	if g.Adapter != "" && !slices.Contains(model.Adapters, g.Adapter) {
		c.add(Dangling, "groups", name+".adapter", "model %q has no adapter %q", g.Model, g.Adapter)
	}
}

// accountRefs checks that each name in a list is a defined account.
func (c *checker) accountRefs(section, path string, accounts []string) {
	c.unique(section, path, accounts)
	for i, account := range accounts {
		if _, ok := c.document.Accounts[account]; !ok && account != "" {
			c.add(Dangling, section, path+"."+strconv.Itoa(i), "there is no account %q", account)
		}
	}
}

func (c *checker) between(section, path string, value, low, high int) {
	if value < low || value > high {
		c.add(Range, section, path, "must be %d to %d, is %d", low, high, value)
	}
}

func (c *checker) atLeast(section, path string, value, low float64) {
	if value < low {
		c.add(Range, section, path, "must be at least %v, is %v", low, value)
	}
}

func (c *checker) capacity() {
	given := c.document.Capacity
	filled := fillCapacity(given)
	c.atLeast("capacity", "spread", float64(filled.Spread), 1)
	if n := len(c.document.Domains); n > 0 && filled.Spread > n {
		c.add(Range, "capacity", "spread", "there are %d failure domains, spread is %d", n, filled.Spread)
	}
	c.atLeast("capacity", "loads", float64(filled.Loads), 1)
	c.atLeast("capacity", "spares", float64(given.Spares), 0)
	c.atLeast("capacity", "ramp.start", float64(filled.Ramp.Start), 1)
	c.atLeast("capacity", "ramp.step", float64(filled.Ramp.Step), 1)
	if filled.Ramp.Full < filled.Ramp.Start {
		c.add(Range, "capacity", "ramp.full", "must not be below ramp.start, %d is below %d", filled.Ramp.Full, filled.Ramp.Start)
	}
}

func (c *checker) accounts() {
	owner := map[string]string{} // account names by key hash
	for _, name := range slices.Sorted(maps.Keys(c.document.Accounts)) {
		a := c.document.Accounts[name]
		c.name("accounts", name)
		if len(a.Keys) == 0 {
			c.add(Missing, "accounts", name+".keys", "an account has at least one key")
		}
		for i, key := range a.Keys {
			path := name + ".keys." + strconv.Itoa(i)
			c.hash("accounts", path, key)
			key = strings.ToLower(key)
			if other, taken := owner[key]; taken {
				c.add(Clash, "accounts", path, "account %q has the same key", other)
			}
			owner[key] = name
		}
		c.atLeast("accounts", name+".weight", a.Weight, 0)
		c.atLeast("accounts", name+".rate", a.Rate, 0)
		c.atLeast("accounts", name+".burst", float64(a.Burst), 0)
		c.atLeast("accounts", name+".inflight", float64(a.Inflight), 0)
	}
}

// hash checks that value is a SHA-256 in hexadecimal digits. The reason does not
// contain the value, since it may be a key entered by mistake.
func (c *checker) hash(section, path, value string) {
	if data, err := hex.DecodeString(value); err != nil || len(data) != hashSize {
		c.add(Range, section, path, "must be a SHA-256 of %d hexadecimal digits", 2*hashSize)
	}
}

func (c *checker) domains() {
	for name, d := range c.document.Domains {
		c.name("domains", name)
		if d.Region == "" {
			c.add(Missing, "domains", name+".region", "a failure domain lies in a region")
		}
	}
}

func (c *checker) instances() {
	for name := range c.document.Instances {
		if name == "" || len(name) > maxName {
			c.add(Range, "instances", name, "an instance id has 1 to %d characters", maxName)
		}
	}
}

func (c *checker) services() {
	for name, s := range c.document.Services {
		c.name("services", name)
		if len(s.Addresses) == 0 {
			c.add(Missing, "services", name+".addresses", "a service has at least one address")
		}
		c.unique("services", name+".addresses", s.Addresses)
		for i, address := range s.Addresses {
			if reason := addressFault(address); reason != "" {
				c.add(Range, "services", name+".addresses."+strconv.Itoa(i), "%s", reason)
			}
		}
		c.accountRefs("services", name+".accounts", s.Accounts)
		c.atLeast("services", name+".inflight", float64(s.Inflight), 0)
		c.duration("services", name+".timeout", s.Timeout, maxRequest)
	}
}

// addressFault returns why address is not a valid host:port, or an empty string
// if it is.
func addressFault(address string) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return fmt.Sprintf("must be host:port, is %q", address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Sprintf("must have a port of 1 to 65535, is %q", address)
	}
	return ""
}

func (c *checker) duration(section, path string, value Duration, high time.Duration) {
	if value < 0 || time.Duration(value) > high {
		c.add(Range, section, path, "must be 0s to %v, is %v", high, time.Duration(value))
	}
}

func (c *checker) limits() {
	given := c.document.Limits
	if given.Body < 0 || given.Body > maxBody {
		c.add(Range, "limits", "body", "must be 0 to %d, is %d", maxBody, given.Body)
	}
	c.atLeast("limits", "tokens", float64(given.Tokens), 0)
	c.atLeast("limits", "queue", float64(given.Queue), 0)
	if given.Retries < 0 || given.Retries > 1 {
		c.add(Range, "limits", "retries", "must be 0 to 1, is %v", given.Retries)
	}
	c.duration("limits", "request", given.Request, maxRequest)
	c.duration("limits", "first", given.First, maxRequest)
	c.duration("limits", "gap", given.Gap, maxRequest)
	c.duration("limits", "wait", given.Wait, maxRequest)
	c.duration("limits", "entries", given.Entries, maxRequest)
	c.duration("limits", "window", given.Window, maxWindow)
	filled := fillLimits(given)
	if filled.First > filled.Request {
		c.add(Clash, "limits", "first", "%v is above request, %v", time.Duration(filled.First), time.Duration(filled.Request))
	}
	if filled.Window < 2*filled.Request {
		c.add(Clash, "limits", "window", "%v must be at least twice request, %v", time.Duration(filled.Window), time.Duration(filled.Request))
	}
}
