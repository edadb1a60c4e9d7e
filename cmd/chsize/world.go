package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"

	"golang.org/x/sync/errgroup"

	"clementinehead.example/chead/fakes"
	"clementinehead.example/chead/store"
)

// worldCommand holds the flags of "chsize world", which runs the store and all simulated
// engines in one process.
type worldCommand struct {
	Listen  string `default:"127.0.0.1:19000" help:"Address of the store."`
	Runners int    `default:"60" help:"Endpoints."`
	Domains int    `default:"3" help:"Failure domains."`
}

// Run serves the store and all endpoints until SIGINT or SIGTERM.
func (c worldCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	fakeStore := fakes.NewStore()
	var instances []store.Instance
	group, ctx := errgroup.WithContext(ctx)
	for i := range c.Runners {
		instance := c.instance(i)
		instances = append(instances, instance)
		e := fakes.NewEngine(fakes.EngineOptions{ID: instance.ID})
		group.Go(func() error { return serve(ctx, instance.Address, e) })
	}
	fakeStore.SetInstances(instances...)
	group.Go(func() error { return serve(ctx, c.Listen, fakeStore) })
	return group.Wait()
}

// instance returns the ith instance. Instances are assigned to failure domains round
// robin, and within a failure domain to fabric domains of fabricSize instances.
func (c worldCommand) instance(i int) store.Instance {
	domain := i % c.Domains
	fabric := i / c.Domains / fabricSize
	return store.Instance{
		ID:          fmt.Sprintf("instance-%03d", i),
		Address:     address(firstEndpointPort + i),
		Fabric:      fmt.Sprintf("%s-%d", domainName(domain), fabric),
		Domain:      domainName(domain),
		Region:      regionOf(domain),
		Chips:       chips,
		ChecksFence: true, // it refuses orders with an old fencing token
		Status:      store.Live,
	}
}

// serve serves a handler at an address until the context ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); ctx.Err() == nil {
		return err
	}
	return nil
}
