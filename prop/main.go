package prop

import (
	"flag"
	"os"
)

// Properties holds the settings of rapid for a package's property-based tests.
// An empty field means rapid's default.
type Properties struct {
	Seed   string
	Checks string // number of cases per property
}

// Main runs a package's tests by run, which is (*testing.M).Run, and ends the
// process. Flags on the command line take precedence over p. Failing cases are
// printed and not written to files.
func Main(run func() int, p Properties) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	settings := map[string]string{"rapid.seed": p.Seed, "rapid.checks": p.Checks, "rapid.nofailfile": "true"}
	for name, value := range settings {
		if value == "" || set[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(run())
}
