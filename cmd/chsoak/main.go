// Command chsoak runs the programs as separate processes, injects random faults, and
// checks the promises that the system makes to callers and endpoints. Its exit status
// is 1 if a promise was broken or a directory for logs could not be made, and 2 if
// package soak could not carry out a run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"clementinehead.example/chead/soak"
)

// commands holds the flags of chsoak. kong derives their names from the fields.
type commands struct {
	Seed    uint64        `default:"0" help:"First seed; drawn by the clock where 0."`
	Seeds   int           `default:"1" help:"Seeds to run, one after the other."`
	Profile string        `default:"mixed" enum:"mixed,stops,crashes,limits,cuts,storms,builds,turns" help:"Mix of faults, endpoints and load: mixed, stops, crashes, limits, cuts, storms, builds or turns."`
	Daemons int           `default:"3" help:"Daemons."`
	Runners int           `default:"8" help:"Runners, of which two, or with stops a third, serve plain calls."`
	Length  time.Duration `default:"10s" help:"How long faults are injected."`
	Bin     string        `default:"bin" type:"existingdir" help:"Where chead and chfake are."`
	Old     string        `type:"existingfile" help:"Another build of chead, which every second daemon runs, and with builds all at first; the one in bin where absent."`
	Dir     string        `help:"Where logs go; a new directory where absent."`
	Plan    bool          `help:"Print the faults of each seed."`
}

// run runs all seeds. It returns an error if a seed broke a promise or could not be
// run.
func (c commands) run(ctx context.Context) error {
	if c.Dir == "" {
		dir, err := os.MkdirTemp("", "chsoak.")
		if err != nil {
			return err
		}
		c.Dir = dir
	}
	if c.Seed == 0 {
		c.Seed = uint64(time.Now().Unix())
	}
	fmt.Println("logs are in", c.Dir)
	broken := 0
	for i := range c.Seeds {
		report, err := c.runSeed(ctx, c.Seed+uint64(i))
		if err != nil {
			return err
		}
		if len(report.Failures) > 0 {
			broken++
		}
		if ctx.Err() != nil {
			return errors.New("stopped by a signal")
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d of %d seeds broke a promise", broken, c.Seeds)
	}
	return nil
}

// runSeed runs one seed, with its logs in a directory of its own, and prints the
// result, in which "lost" counts the requests without a response or with one that was
// cut off. The daemons' program is chead, the endpoints' program chfake.
func (c commands) runSeed(ctx context.Context, seed uint64) (soak.Report, error) {
	dir := filepath.Join(c.Dir, fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return soak.Report{}, err
	}
	report, err := soak.Run(ctx, soak.Options{
		Seed: seed, Dir: dir, Profile: soak.Profiles()[c.Profile], Chead: filepath.Join(c.Bin, "chead"), Old: c.Old, Chfake: filepath.Join(c.Bin, "chfake"),
		Daemons: c.Daemons, Runners: c.Runners, Length: c.Length,
	})
	if c.Plan {
		for _, step := range report.Steps {
			fmt.Println("  ", step)
		}
	}
	fmt.Printf("seed %d: %d faults, %d requests, %d served, %d refused, %d lost %v, %d crashes, %d limits, %d cuts, %d retries, %d upgrades, %d promises broken\n",
		seed, len(report.Steps), report.Requests, report.Served, report.Refused, report.Lost, report.Excused, report.Crashes, report.Limited, report.Cuts, report.Retried, report.Upgraded, len(report.Failures))
	for _, text := range report.Failures {
		fmt.Println("  BROKEN", text)
	}
	return report, err
}

func main() {
	var c commands
	kong.Parse(&c, kong.Name("chsoak"), kong.Description("Runs the system under random faults and checks its promises."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := c.run(ctx); err != nil {
		var failed *soak.Error
		if errors.As(err, &failed) {
			fmt.Fprintln(os.Stderr, "not run:", err)
			os.Exit(2)
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
