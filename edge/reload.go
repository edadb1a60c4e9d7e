package edge

import (
	"strings"

	"clementinehead.example/chead/pick"
)

// Reload applies the settings that can change while the daemon runs: revoke, apply,
// grace, ratio, extra and window. If other settings differ, they take effect at the
// next start only, and the log names them. A shutdown goes on by the grace period with
// which it began.
func (d *Daemon) Reload(s Settings) {
	old := d.settings()
	if d.leaving.Load() {
		s.Grace = old.Grace
	}
	d.current.Store(&s)
	d.options.Log.Info("settings in force", "revoke", s.Revoke, "apply", s.Apply, "grace", s.Grace,
		"ratio", s.Ratio, "extra", s.Extra, "window", s.Window, "later", strings.Join(restartOnly(old, s), ","))
}

// restartOnly returns the names of the settings that differ and take effect at the next
// start only.
func restartOnly(a, b Settings) []string {
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
		{"source", a.Source == b.Source},
		{"cores", a.Cores == b.Cores},
		{"memory", a.Memory == b.Memory},
		{"held", a.Held == b.Held},
	} {
		if !f.same {
			names = append(names, f.name)
		}
	}
	return names
}

// settings returns the newest settings. Of these, only the ones that Reload applies are
// in force.
func (d *Daemon) settings() Settings { return *d.current.Load() }

// budget returns the retry budget that the daemons share: budgetFraction of the
// configured one. They leave the rest unused.
func (d *Daemon) budget() pick.Budget {
	s := d.settings()
	return pick.Budget{Ratio: s.Ratio * budgetFraction, Extra: s.Extra * budgetFraction, Window: s.window(), Since: d.started}
}
