package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	// drainTime is bounds.drain_ms.
	drainTime = 2 * time.Second
	// lateBy is how late the heartbeat arrives, serveOn how long the server goes on serving after the ack of its leave.
	lateBy  = 4 * time.Second
	serveOn = 12 * time.Second
)

// restart starts a server that has crashed again, under its id and at its address, with a new born and a new count.
func (b *backend) restart() error {
	l, err := net.Listen("tcp", b.addr)
	if err != nil {
		return err
	}
	b.born = time.Now().UnixMilli()
	b.seq.Store(0)
	b.srv = &http.Server{Handler: b}
	go func() { _ = b.srv.Serve(l) }()
	b.p.log("backend %s: started again, born %d", b.id, b.born)
	return nil
}

// say sends a call of the backend to a control address.
func (b *backend) say(address, what, state string) (status int) {
	seq := b.seq.Add(1)
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":"dolina","concurrency":%d},"status":{"state":%q,"seq":%d,"warmup_left_ms":0}}`,
		b.addr, b.born, service, slots, state, seq)
	b.p.log("backend %s: sends %s, state %s, born %d, seq %d", b.id, what, state, b.born, seq)
	status, _ = call(http.MethodPost, fmt.Sprintf("http://%s/instances/%s/%s", address, b.id, what), body)
	b.p.log("backend %s: %s with seq %d: status %d", b.id, what, seq, status)
	return status
}

// lateHeartbeat checks DRAIN: a backend server crashes, starts again under its id and leaves soon, and a heartbeat that it sent before
// it left arrives seconds late.
func lateHeartbeat(p *platform, trouble string) int {
	if !startFleet(p) {
		return unable
	}
	c := newClient(p)
	before := c.sendFor(3*time.Second, 10*time.Millisecond)
	control := p.withRole("control")
	addresses := make([]string, len(control))
	for i, m := range control {
		addresses[i] = fmt.Sprintf("%s:%d", m.ip, controlPort)
	}
	slow, err := startDelayProxy(fmt.Sprintf("%s.90", p.net), addresses[0], lateBy)
	if err != nil {
		p.log("no proxy: %v", err)
		return unable
	}
	defer slow.Close()
	b := p.backends[0]
	p.log("backend %s: crashes", b.id)
	b.stop()
	time.Sleep(2 * time.Second)
	if err := b.restart(); err != nil {
		p.log("not started again: %v", err)
		return unable
	}
	traffic := make(chan counts, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		total := counts{}
		for ctx.Err() == nil {
			n := c.sendFor(500*time.Millisecond, 10*time.Millisecond)
			total.sent, total.served = total.sent+n.sent, total.served+n.served
		}
		traffic <- total
	}()
	first := addresses[0]
	if trouble != "0" {
		first = slow.Addr().String()
	}
	go b.say(first, "heartbeat", "ready")
	time.Sleep(700 * time.Millisecond)
	if status := b.say(addresses[1], "leave", "ready"); status/100 != 2 {
		return unable
	}
	acked := time.Now()
	runs := func() int64 { return b.runs.Load() }
	time.Sleep(drainTime)
	atDrain := runs()
	p.log("drain_ms after the ack: %s has run %d requests", b.id, atDrain)
	time.Sleep(serveOn - drainTime)
	late := runs() - atDrain
	p.log("backend %s: exits, %v after the ack", b.id, time.Since(acked).Round(time.Millisecond))
	_ = b.srv.Close()
	time.Sleep(100 * time.Millisecond)
	cut := runs() - b.answered.Load()
	time.Sleep(3 * time.Second)
	cancel()
	during := <-traffic
	p.log("result: requests served before %d of %d, then %d of %d", before.served, before.sent, during.served, during.sent)
	p.log("result: %d requests reached %s later than drain_ms after a control member acknowledged that it is gone; its exit cut off %d at work", late, b.id, cut)
	if late > 0 {
		p.log("RULE BROKEN: DRAIN")
		return broken
	}
	return held
}
