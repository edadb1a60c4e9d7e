package wire

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// oldBuild is the commit whose messages are in testdata.
const oldBuild = "12840eb"

// record is not called update: what an old build wrote must not be rewritten by a later one.
var record = flag.String("record", "", "write the fields and calls of this build to testdata, in a directory of this name")

// described returns a line for each field, value of an enum and call of the files.
func described(files ...protoreflect.FileDescriptor) []string {
	var lines []string
	for _, file := range files {
		for i := range file.Messages().Len() {
			fields := file.Messages().Get(i).Fields()
			for k := range fields.Len() {
				f := fields.Get(k)
				of := ""
				if f.Message() != nil {
					of = string(f.Message().FullName())
				}
				if f.Enum() != nil {
					of = string(f.Enum().FullName())
				}
				lines = append(lines, strings.TrimSpace(fmt.Sprintf("%s %d %v %v %s", f.FullName(), f.Number(), f.Cardinality(), f.Kind(), of)))
			}
		}
		for i := range file.Enums().Len() {
			values := file.Enums().Get(i).Values()
			for k := range values.Len() {
				lines = append(lines, fmt.Sprintf("%s %d", values.Get(k).FullName(), values.Get(k).Number()))
			}
		}
		for i := range file.Services().Len() {
			calls := file.Services().Get(i).Methods()
			for k := range calls.Len() {
				lines = append(lines, fmt.Sprintf("%s(%s) %s", calls.Get(k).FullName(), calls.Get(k).Input().FullName(), calls.Get(k).Output().FullName()))
			}
		}
	}
	slices.Sort(lines)
	return lines
}

// Every field, value and call of the old build is there with its number and type, which is all
// that the encoding depends on. New ones are unknown fields to the old build, which skips them.
func TestMessagesOfOldBuildStay(t *testing.T) {
	lines := described(File_gate_proto, File_relay_proto, File_roster_proto, File_tally_proto)
	if *record != "" {
		path := filepath.Join("testdata", *record)
		if err := os.MkdirAll(path, 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(path, "fields"), []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	old, err := os.ReadFile(filepath.Join("testdata", oldBuild, "fields"))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(strings.TrimSpace(string(old)), "\n") {
		if !slices.Contains(lines, line) {
			t.Errorf("gone or changed: %s", line)
		}
	}
}
