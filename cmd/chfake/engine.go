package main

import (
	"time"

	"clementinehead.example/chead/engine"
	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/reply"
	"clementinehead.example/chead/store"
)

// engineCommand holds the flags of "chfake engine".
type engineCommand struct {
	Listen string `required:"" help:"Address to listen on, host:port; it is registered as the endpoint's address."`
	ID     string `required:"" help:"Instance."`
	Fabric string `required:"" help:"Fabric domain of the instance."`
	Domain string `required:"" help:"Failure domain of the instance."`
	Region string `default:"local" help:"Region of the instance."`
	Chips  int    `default:"4" help:"Accelerators of the instance."`
	Store  string `required:"" help:"URL of the store's process."`

	Ignore  bool          `help:"Take orders and requests with an old fencing number."`
	Size    int           `default:"16" help:"Requests in the batch at once."`
	Start   int           `default:"1" help:"Requests in progress that a cold engine bears; one more crashes it."`
	Step    int           `default:"4" help:"Completed requests after which it bears one more."`
	Full    int           `default:"16" help:"Requests in progress that a warm engine bears."`
	First   time.Duration `default:"20ms" help:"Time to the first token."`
	Prefill time.Duration `default:"2ms" help:"More time to the first token for each prefix block that is not cached."`
	Token   time.Duration `default:"10ms" help:"Time between tokens."`
	Share   time.Duration `default:"500us" help:"More time between tokens for each other request in the batch."`
	Lag     time.Duration `default:"500ms" help:"How far the load report lags behind."`
	Delay   time.Duration `default:"1s" help:"How late cache events are."`
	Skip    int           `default:"50" help:"Of how many cache events one is lost, 0 for none."`
	Reboot  time.Duration `default:"2s" help:"Time from a crash to the next start."`
	Weights float64       `default:"1" help:"Gigabytes that the engine loads for a model."`
}

// Run serves until SIGINT or SIGTERM.
func (c engineCommand) Run() error {
	p := newProcessClient(c.Store)
	e := fakes.NewEngine(c.options(p))
	defer e.Close()
	return serve(c.Listen, e, p.register(c.instance()))
}

// instance returns the entry of the engine in the list of instances.
func (c engineCommand) instance() store.Instance {
	return store.Instance{
		ID:          c.ID,
		Address:     c.Listen,
		Fabric:      c.Fabric,
		Domain:      c.Domain,
		Region:      c.Region,
		Chips:       c.Chips,
		ChecksFence: !c.Ignore,
		Status:      store.Live,
	}
}

// options returns the options of the simulated engine. It loads weights from the
// store's process and counts its runs there.
func (c engineCommand) options(p processClient) fakes.EngineOptions {
	return fakes.EngineOptions{
		ID:          c.ID,
		IgnoreFence: c.Ignore,
		Size:        c.Size,
		ColdLimit:   c.Start,
		LimitStep:   c.Step,
		WarmLimit:   c.Full,
		LoseEvery:   c.Skip,
		First:       c.First,
		Prefill:     c.Prefill,
		Token:       c.Token,
		PerRequest:  c.Share,
		LoadLag:     c.Lag,
		EventLag:    c.Delay,
		Reboot:      c.Reboot,
		Load:        p.loadWeights(c.Weights),
		Member:      engine.New(reply.Default.Do).Probe,
		OnRun:       func(_, prompt string) { p.countRun(fakes.PromptKey(prompt)) },
	}
}
