package roster

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"clementinehead.example/chead/wire"
)

var _ wire.RosterHandler = (*Roster)(nil)

// Beat answers a peer's heartbeat.
func (r *Roster) Beat(_ context.Context, request *wire.BeatRequest) (*wire.BeatResponse, error) {
	from := request.From
	if from.GetId() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, &Error{Op: "beat", Kind: Join})
	}
	r.take(from, request.Changed)
	// How long the request was under way is unknown, so it vouches for nothing.
	r.compareDigests(from, request.Digest, time.Time{})
	digest := r.digest()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.joined = true
	response := &wire.BeatResponse{
		From:       r.table.members[r.table.self].daemon,
		Changed:    r.table.updates(piggyback),
		RosterHash: r.table.sum,
		Digest:     digest,
	}
	if known, ok := r.table.members[from.Id]; ok && compare(known.daemon, from) > 0 {
		response.Changed = append(response.Changed, known.daemon)
	}
	return response, nil
}

// Probe beats a target on behalf of a peer that got no answer from it.
func (r *Roster) Probe(ctx context.Context, request *wire.RelayRequest) (*wire.RelayResponse, error) {
	target, ok := r.Find(request.Target)
	answered := ok && r.beat(ctx, target.PeerAddress)
	return &wire.RelayResponse{Answered: answered}, nil
}

// List returns the daemons that are not known to be dead. Dead ones are left
// out, lest they go round for ever.
func (r *Roster) List(context.Context, *wire.ListRequest) (*wire.ListResponse, error) {
	return &wire.ListResponse{Daemons: slices.DeleteFunc(r.Daemons(), dead)}, nil
}
