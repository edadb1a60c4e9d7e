package front

import (
	"testing"

	"clementinehead.example/chead/prop"
)

func TestMain(m *testing.M) { prop.Main(m.Run, prop.Properties{Seed: "23", Checks: "25"}) }
