package prop

import (
	"flag"
	"os"
)

// Properties are how a package's property-based tests draw their cases. Empty
// fields stand for the library's defaults.
type Properties struct {
	Seed   string
	Checks string // cases of each property
}

// Main runs a package's tests, with (*testing.M).Run, and ends the process. The
// command line goes before the properties given here. Failing cases are printed
// and not written to files.
func Main(run func() int, p Properties) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	settings := map[string]string{"rapid.seed": p.Seed, "rapid.checks": p.Checks, "rapid.nofailfile": "true"}
	for name, value := range settings {
		if value == "" || given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(run())
}
