package gate

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write the golden files anew")

// golden compares a table with a file, and prints it.
func golden(t *testing.T, name, table string) {
	t.Helper()
	t.Log("\n" + table)
	is := is.New(t)
	path := filepath.Join("testdata", name+".golden")
	if *update {
		is.NoErr(os.WriteFile(path, []byte(table), 0o644))
	}
	want, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(table, string(want))
}

func TestMain(m *testing.M) {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
