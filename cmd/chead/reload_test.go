package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// A change of the settings file between its first read and the first check for
// changes must be noticed. It was missed while the version was taken only when the
// checks began, which let TestSettingsReload fail on a busy instance.
func TestChangeAfterFirstReadIsNoticed(t *testing.T) {
	is := is.New(t)
	file := &settingsFile{path: filepath.Join(t.TempDir(), "settings.json")}
	is.NoErr(os.WriteFile(file.path, settingsJSON(t, 5000), 0o600))
	_, err := file.read()
	is.NoErr(err)
	is.True(!file.changed())
	is.NoErr(os.WriteFile(file.path, []byte("{"), 0o600))
	is.True(file.changed())
	_, err = file.read()
	is.True(err != nil)
	is.True(!file.changed()) // an invalid file is reported once
}
