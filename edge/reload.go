package edge

import (
	"strings"

	"clementinehead.example/chead/pick"
)

// Reload puts the bounds of new settings in force. Where other settings differ,
// the log says which of them hold from the next start only.
func (d *Daemon) Reload(s Settings) {
	old := d.bounds()
	d.inForce.Store(&s)
	d.options.Log.Info("settings in force", "revoke", s.Revoke, "apply", s.Apply, "grace", s.Grace,
		"ratio", s.Ratio, "extra", s.Extra, "window", s.Window, "later", strings.Join(differ(old, s), ","))
}

// differ names the settings that can't change while the daemon runs, and do.
func differ(a, b Settings) []string {
	var names []string
	for _, f := range []struct {
		name string
		same bool
	}{
		{"id", a.ID == b.ID},
		{"domain", a.Domain == b.Domain},
		{"region", a.Region == b.Region},
		{"caller", a.Caller == b.Caller},
		{"ready", a.Ready == b.Ready},
		{"guide", a.Guide == b.Guide},
		{"peer", a.Peer == b.Peer},
		{"metrics", a.Metrics == b.Metrics},
		{"store", a.Store == b.Store},
	} {
		if !f.same {
			names = append(names, f.name)
		}
	}
	return names
}

// bounds returns the settings whose bounds are in force.
func (d *Daemon) bounds() Settings { return *d.inForce.Load() }

// budget returns the part of the shared budget that the daemons spend.
func (d *Daemon) budget() pick.Budget {
	s := d.bounds()
	return pick.Budget{Ratio: s.Ratio * budgetPart, Extra: s.Extra * budgetPart, Window: s.window(), Since: d.began}
}
