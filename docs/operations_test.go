package docs

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// sources returns the text of all product code that runs on the platform.
func sources(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	for _, dir := range []string{"front", "groups", "watch", "gossip", "pick", "edge", "logbuf", "cmd/chead"} {
		files, err := filepath.Glob(filepath.Join("..", dir, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			all.Write(data)
		}
	}
	return all.String()
}

var code = regexp.MustCompile("(?s)```json\n(.*?)```")

// TestOperationsNamesWhatIsWritten checks that the code writes every field of the
// log lines that OPERATIONS.md quotes and every field of its table.
func TestOperationsNamesWhatIsWritten(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("OPERATIONS.md")
	is.NoErr(err)
	written := sources(t)
	for _, block := range code.FindAllStringSubmatch(string(page), -1) {
		for _, line := range strings.Split(strings.TrimSpace(block[1]), "\n") {
			var fields map[string]any
			is.NoErr(json.Unmarshal([]byte(line), &fields))
			for name := range fields {
				if name == "msg" {
					continue
				}
				if !strings.Contains(written, `"`+name+`"`) {
					t.Errorf("no code writes the field %q of %s", name, line)
				}
			}
		}
	}
	table := string(page)[strings.Index(string(page), "| field |"):strings.Index(string(page), "| line |")]
	for _, name := range regexp.MustCompile("(?m)^\\| ([^|]*)\\|").FindAllStringSubmatch(table, -1) {
		for _, field := range regexp.MustCompile("`([a-z_]+)`").FindAllStringSubmatch(name[1], -1) {
			if !strings.Contains(written, `"`+field[1]+`"`) {
				t.Errorf("no code writes the field %q", field[1])
			}
		}
	}
}

// TestOnlyPlatformKnowsTheNames checks that only package platform, simulations and
// tests use the platform's names. The request id is exempt, since it has the same
// name in the product's own interface.
func TestOnlyPlatformKnowsTheNames(t *testing.T) {
	is := is.New(t)
	out, err := exec.Command("git", "-C", "..", "ls-files", "*.go").Output()
	is.NoErr(err)
	names := regexp.MustCompile(`X-(Deadline-Ms|Tenant|Expect-Instance|Server-Signature|Not-Executed|Token-Usage)|/api/(kv|order|report)|"servers/|"op/|api_keys|path_prefix|fencing_token`)
	for _, file := range strings.Fields(string(out)) {
		if strings.HasPrefix(file, "platform/") || strings.HasPrefix(file, "simul/") || strings.HasPrefix(file, "cmd/chfake/") || strings.HasSuffix(file, "_test.go") {
			continue
		}
		data, err := os.ReadFile(filepath.Join("..", file))
		if err != nil {
			continue // not in this checkout
		}
		if found := names.Find(data); found != nil {
			t.Errorf("%s knows %q", file, found)
		}
	}
}
