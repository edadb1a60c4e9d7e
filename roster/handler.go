package roster

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"clementinehead.example/chead/wire"
)

var _ wire.RosterHandler = (*Roster)(nil)

// Beat handles a peer's heartbeat.
func (r *Roster) Beat(_ context.Context, request *wire.BeatRequest) (*wire.BeatResponse, error) {
	from := request.From
	if from.GetId() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, &Error{Op: "beat", Kind: NoSender})
	}
	r.mergeBeat(from, request.Changed)
	// It is unknown how long the request took to arrive, so the time when the
	// digest was made is unknown, too.
	r.compareDigests(from, request.Digest, time.Time{})
	digest := r.digest()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.joined = true
	response := &wire.BeatResponse{
		From:       r.table.members[r.table.self].daemon,
		Changed:    r.table.updates(maxPiggyback),
		RosterHash: r.table.rosterHash,
		Digest:     digest,
	}
	if known, ok := r.table.members[from.Id]; ok && compare(known.daemon, from) > 0 {
		response.Changed = append(response.Changed, known.daemon)
	}
	return response, nil
}

// Probe sends a heartbeat to a target on behalf of a peer that got no answer
// from it.
func (r *Roster) Probe(ctx context.Context, request *wire.RelayRequest) (*wire.RelayResponse, error) {
	target, ok := r.Find(request.Target)
	answered := ok && r.heartbeat(ctx, target.PeerAddress)
	return &wire.RelayResponse{Answered: answered}, nil
}

// List returns the daemons that are not known to be dead. Dead ones are omitted,
// since daemons would otherwise keep passing them to each other after they are
// forgotten.
func (r *Roster) List(context.Context, *wire.ListRequest) (*wire.ListResponse, error) {
	return &wire.ListResponse{Daemons: slices.DeleteFunc(r.Daemons(), dead)}, nil
}
