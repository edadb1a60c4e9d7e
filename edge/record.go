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
	recordTTL     = 15 * time.Second // of the record's lease; whether a daemon lives is known sooner by gossip
	renewInterval = 5 * time.Second
	retryPause    = 500 * time.Millisecond // after a failed renewal, and between looks at the store's era
	callTimeout   = time.Second            // of one renewal, with all its calls
)

// registration keeps this daemon's record in the store, by which other daemons find
// it.
type registration struct {
	instance string // whose earlier starts' record is overwritten
	self     site.Daemon
	store    *platform.Store
	log      logr.Logger
	lease    platform.Lease
	failing  bool // the last renewal failed

	removeTimeout func() time.Duration // for the removal, after which the process ends
}

// run writes and renews the record until the context ends, then removes it.
func (r *registration) run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := renewInterval
		err := r.renew(ctx)
		if err != nil {
			pause = retryPause
		}
		if ctx.Err() == nil {
			r.logChange(err)
		}
		r.sleep(ctx, pause)
	}
	r.remove(r.removeTimeout())
	return nil
}

// sleep waits for a time, or until the store is in another era than the lease: then the
// record is missing.
func (r *registration) sleep(ctx context.Context, pause time.Duration) {
	for waited := time.Duration(0); waited < pause; waited += retryPause {
		if !clock.Sleep(ctx, retryPause) || r.lease.ID != 0 && r.lease.Era != r.store.Era() {
			return
		}
	}
}

// logChange logs when renewals start to fail and when they succeed again.
func (r *registration) logChange(err error) {
	switch {
	case err != nil && !r.failing:
		r.log.Info("record not renewed", "error", err.Error())
	case err == nil && r.failing:
		r.log.Info("record renewed again", "lease", r.lease.ID)
	}
	r.failing = err != nil
}

// renew renews the record's lease, or writes the record if there is no lease.
func (r *registration) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if r.lease.ID == 0 {
		return r.write(ctx)
	}
	err := r.store.Renew(ctx, r.lease)
	if platform.Is(err, platform.NotFound) || platform.Is(err, platform.Rewound) {
		r.log.Info("record lapsed, writing it anew", "error", err.Error(), "era", r.store.Era())
		return r.write(ctx)
	}
	return err
}

// write writes the record under a new lease.
func (r *registration) write(ctx context.Context) error {
	value, err := json.Marshal(r.self)
	if err != nil {
		return &Error{Op: "encode record", Kind: Part, Err: err}
	}
	lease, err := r.store.Grant(ctx, recordTTL)
	if err != nil {
		return err
	}
	_, err = r.store.Commit(ctx, platform.Txn{Era: lease.Era, Puts: []platform.Put{{Key: platform.DaemonRecordKey(r.instance), Value: value, Lease: lease.ID}}})
	if err == nil {
		r.lease = lease
	}
	return err
}

// remove ends the lease, and with it the record. It gives up after a time.
func (r *registration) remove(timeout time.Duration) {
	if r.lease.ID == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := r.store.Revoke(ctx, r.lease); err != nil {
		r.log.Info("record left to lapse", "error", err.Error())
	}
}
