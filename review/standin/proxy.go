package main

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// proxy stands before the peer port of a control member. It can cut one entry off: what it sends on connections open by then or opened
// later is not passed on, in either direction, while the members and the other entries go on to reach this member.
type proxy struct {
	rec    *record
	target string
	mu     sync.Mutex
	// cut is the name of the entry that is cut off, empty for none.
	cut  string
	held map[net.Conn]bool
}

func newProxy(rec *record, listen, target string) *proxy {
	l, err := net.Listen("tcp", listen)
	must(err)
	p := &proxy{rec: rec, target: target, held: make(map[net.Conn]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

// setCut cuts an entry off, or heals the cut for an empty name; the bytes held up by it are lost.
func (p *proxy) setCut(entry string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = entry
	if entry == "" {
		for c := range p.held {
			_ = c.Close()
			delete(p.held, c)
		}
	}
}

// isCut reports whether c, whose first request is given, belongs to the entry that is cut off.
func (p *proxy) isCut(c net.Conn, first []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	cut := p.cut != "" && bytes.Contains(first, []byte(p.cut))
	if cut {
		p.held[c] = true
	}
	return cut
}

func (p *proxy) serve(c net.Conn) {
	r := bufio.NewReaderSize(c, 64<<10)
	_, _ = r.Peek(1)
	time.Sleep(2 * time.Millisecond)
	first, _ := r.Peek(r.Buffered())
	first = bytes.Clone(first)
	// An entry tells its name in the body of its watch.
	fromEntry := bytes.Contains(first, []byte("Deliverer/Watch"))
	if fromEntry && p.isCut(c, first) {
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
		return
	}
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	defer t.Close()
	defer c.Close()
	done := make(chan struct{}, 2)
	pipe := func(dst net.Conn, src io.Reader) {
		defer func() { done <- struct{}{} }()
		buf := make([]byte, 32<<10)
		for {
			n, err := src.Read(buf)
			if fromEntry && n > 0 && p.isCut(c, first) {
				_, _ = io.Copy(io.Discard, src)
				return
			}
			if n > 0 {
				if _, werr := dst.Write(buf[:n]); werr != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go pipe(t, r)
	go pipe(c, t)
	<-done
}
