package keeper

import (
	"context"
	"flag"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementinehead.example/chead/conf"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261203")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func group(replicas, size int) conf.Group {
	return conf.Group{Model: "m", Version: "1", Size: size, Replicas: replicas}
}

func TestKeeperFindsPlacesAndServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.addFabric("f", "d", 9)
		w.document.Groups["g"] = group(2, 4)
		w.configure()
		w.start(context.Background(), "a", "d")
		w.start(context.Background(), "b", "d")
		time.Sleep(time.Minute)
		is.Equal(w.serving("g"), 2)
		w.check()
		is.Equal(w.faults, nil)
		for _, h := range w.hosts {
			for _, s := range h.keeper.Status() {
				t.Log(h.id, s.Fabric, s.Outages, s.Value.Cause)
			}
		}
		w.stop()
	})
}
