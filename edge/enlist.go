package edge

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-logr/logr"

	"clementinehead.example/chead/clock"
	"clementinehead.example/chead/platform"
	"clementinehead.example/chead/site"
)

const (
	recordTTL   = 6 * time.Second
	recordRenew = 2 * time.Second
	recordRetry = 500 * time.Millisecond
	recordLimit = time.Second
)

// record keeps this daemon's record in the store while the context lives, so
// that the others find it.
type record struct {
	self  site.Daemon
	store *platform.Store
	log   logr.Logger
	lease int64
	lost  bool // the last renewal failed
}

func (r *record) run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := recordRenew
		err := r.renew(ctx)
		if err != nil {
			pause = recordRetry
		}
		if ctx.Err() == nil {
			r.note(err)
		}
		clock.Sleep(ctx, pause)
	}
	r.end()
	return nil
}

// note logs when renewals begin to fail and when they work again.
func (r *record) note(err error) {
	switch {
	case err != nil && !r.lost:
		r.log.Info("record not renewed", "error", err.Error())
	case err == nil && r.lost:
		r.log.Info("record renewed again", "lease", r.lease)
	}
	r.lost = err != nil
}

func (r *record) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recordLimit)
	defer cancel()
	if r.lease == 0 {
		return r.write(ctx)
	}
	err := r.store.Renew(ctx, r.lease)
	if platform.Is(err, platform.NotFound) {
		r.log.Info("record lapsed, writing it anew")
		return r.write(ctx)
	}
	return err
}

func (r *record) write(ctx context.Context) error {
	value, err := json.Marshal(r.self)
	if err != nil {
		return &Error{Op: "encode record", Kind: Part, Err: err}
	}
	lease, err := r.store.Grant(ctx, recordTTL)
	if err != nil {
		return err
	}
	_, err = r.store.Commit(ctx, platform.Txn{Puts: []platform.Put{{Key: platform.DaemonRecordKey(r.self.ID), Value: value, Lease: lease}}})
	if err == nil {
		r.lease = lease
	}
	return err
}

// end takes the record out.
func (r *record) end() {
	if r.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordLimit)
	defer cancel()
	if err := r.store.Revoke(ctx, r.lease); err != nil {
		r.log.Info("record left to lapse", "error", err.Error())
	}
}
