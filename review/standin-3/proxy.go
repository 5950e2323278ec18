package main

import (
	"io"
	"net"
	"time"
)

// delayProxy listens at a free port of an address and forwards connections to target. What a client sends, the opening of the connection and
// its end included, is passed on after delay; what the target answers, at once.
type delayProxy struct {
	net.Listener
	target string
	delay  time.Duration
}

func startDelayProxy(ip, target string, delay time.Duration) (*delayProxy, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	d := &delayProxy{l, target, delay}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.forward(c.(*net.TCPConn))
		}
	}()
	return d, nil
}

// piece is what was read at once; nil for the end.
type piece struct {
	data []byte
	due  time.Time
}

func (d *delayProxy) forward(c *net.TCPConn) {
	defer c.Close()
	opened := time.Now()
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			buf := make([]byte, 16<<10)
			n, err := c.Read(buf)
			if n > 0 {
				pieces <- piece{buf[:n], time.Now().Add(d.delay)}
			}
			if err != nil {
				pieces <- piece{nil, time.Now().Add(d.delay)}
				return
			}
		}
	}()
	time.Sleep(time.Until(opened.Add(d.delay)))
	t, err := net.Dial("tcp", d.target)
	if err != nil {
		return
	}
	defer t.Close()
	go func() { _, _ = io.Copy(c, t) }()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if p.data == nil {
			return
		}
		if _, err := t.Write(p.data); err != nil {
			return
		}
	}
}
