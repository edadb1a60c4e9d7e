package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	readers       = 4
	answerBytes   = 8_300_000               // of a whole answer
	burstPause    = 1900 * time.Millisecond // between the bursts in which a reader takes its answer
	afterSigterm  = 1700 * time.Millisecond // from SIGTERM until the requests are sent
	slowDeadline  = 8 * time.Second         // of a request, and its route's timeout
	segmentBytes  = 1400                    // as on a link of the platform
	receiveBuffer = 8 << 10                 // bytes
)

// burstBytes are the bytes of an answer up to each burst but the last, which takes the rest.
var burstBytes = []int{300_000, 600_000, 900_000}

// slowCase sends requests whose clients read the answers slowly to a daemon that gets SIGTERM.
// The runners have long ended them, and the clients would have the whole answers before their
// deadline and the end of the grace period.
func slowCase(dir string, rec *record, trouble bool) (int, error) {
	address := freeAddress()
	st, err := startStore(address)
	if err != nil {
		return notRun, err
	}
	st.put("op/config", slowConfig)
	for range 3 {
		r := &runner{store: st, record: rec, service: "ledger", zone: "zone-a", address: freeAddress(), noteRuns: true}
		if err := r.start(); err != nil {
			return notRun, err
		}
	}
	daemons, err := startDaemons(rec, dir, address, 3)
	defer func() {
		for _, d := range daemons {
			d.kill()
		}
	}()
	if err != nil {
		return notRun, err
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if trouble {
			daemons[0].stop()
		}
	}()
	time.Sleep(afterSigterm)
	var all sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for n := range readers {
		all.Go(func() {
			id := fmt.Sprintf("export-%d", n)
			sent := time.Now()
			rec.note("client sends %s to %s", id, daemons[0].name)
			got, err := readSlowly(daemons[0].caller, id)
			rec.note("client has %d of %d bytes of %s after %.2f s, %v", got, answerBytes, id, time.Since(sent).Seconds(), err)
			if err != nil || got != answerBytes {
				mu.Lock()
				defer mu.Unlock()
				lost++
			}
		})
	}
	all.Wait()
	<-stopped
	rec.note("%d of %d requests have no complete answer", lost, readers)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}

// readSlowly sends a request, and takes its answer in bursts. It returns the bytes
// that it got, and an error if the answer isn't complete.
func readSlowly(address, id string) (int, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
		})
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp4", address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	began := time.Now()
	_ = conn.SetDeadline(began.Add(slowDeadline + time.Second))
	if _, err := fmt.Fprintf(conn, "POST /export/1 HTTP/1.1\r\nHost: front.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n",
		id, slowDeadline.Milliseconds(), key); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 512), nil)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	got := 0
	for part := make([]byte, 16<<10); ; {
		burst := 0
		for burst < len(burstBytes) && got >= burstBytes[burst] {
			burst++
		}
		time.Sleep(time.Until(began.Add(time.Duration(burst) * burstPause)))
		n, err := resp.Body.Read(part)
		got += n
		if errors.Is(err, io.EOF) {
			return got, nil
		}
		if err != nil {
			return got, err
		}
	}
}

// export answers a request with many bytes, as fast as they are taken.
func (r *runner) export(id string, w http.ResponseWriter, request string) {
	h := w.Header()
	h.Set("Content-Length", strconv.Itoa(answerBytes))
	h.Set("X-Server-Signature", "sig."+id+"."+request)
	if _, err := w.Write(make([]byte, answerBytes)); err != nil {
		r.record.note("runner %s can't answer %s: %v", id, request, err)
		return
	}
	_ = http.NewResponseController(w).Flush()
	r.record.note("runner %s has answered %s", id, request)
}

var slowConfig = map[string]any{
	"version": 1,
	"routes": []any{map[string]any{
		"name": "export", "host": "front.example", "path_prefix": "/export/", "type": "non_idempotent", "timeout_ms": slowDeadline.Milliseconds(),
		"target_latency_ms": 500, "priority": 1, "service": "ledger", "max_attempts": 1, "public": false,
	}},
	"services": []any{map[string]any{"name": "ledger", "health_path": "/healthz", "max_connections": 110, "cold_start_s": 0, "cold_per_s": 0}},
	"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	"tenants":  []any{map[string]any{"name": "guild", "api_keys": []string{key}}},
}
