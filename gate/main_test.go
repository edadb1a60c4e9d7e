package gate

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"clementinehead.example/chead/prop"
)

var update = flag.Bool("update", false, "write the golden files anew")

// golden compares a table with a golden file, and logs it.
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

func TestMain(m *testing.M) { prop.Main(m.Run, prop.Properties{Seed: "1"}) }
