package main

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// linkMode is how a proxy treats the connections and bytes that it forwards.
type linkMode int

const (
	pass              linkMode = iota
	slow                       // each chunk is delayed by linkDelay
	resetting                  // open connections are reset, new ones are closed
	stalled                    // bytes are held back in both directions
	stalledToTarget            // bytes to the target are held back
	stalledFromTarget          // bytes from the target are held back
	linkModeCount
)

const (
	linkDelay      = 60 * time.Millisecond
	copyBufferSize = 32 << 10 // bytes
)

// proxy forwards TCP connections to a target and disturbs them according to its mode.
type proxy struct {
	ln net.Listener

	mu      sync.Mutex
	target  string
	mode    linkMode
	changed chan struct{} // closed when the mode changes
	conns   map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a proxy")
	}
	p := &proxy{ln: ln, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.ln.Addr().String() }

// set changes the mode. The mode resetting resets the open connections.
func (p *proxy) set(mode linkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
	if mode == resetting {
		p.resetAll()
	}
}

// retarget forwards new connections to another target and resets the open ones.
func (p *proxy) retarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
	p.resetAll()
}

// resetAll resets the open connections. p.mu is held on entry.
func (p *proxy) resetAll() {
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // best effort: the connection may have ended
		}
		c.Close()
	}
	clear(p.conns)
}

func (p *proxy) close() {
	p.ln.Close()
	p.set(resetting)
}

func (p *proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(c net.Conn) {
	p.mu.Lock()
	target, mode := p.target, p.mode
	p.mu.Unlock()
	if mode == resetting {
		c.Close()
		return
	}
	to, err := net.Dial("tcp", target)
	if err != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[to] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(to, c, stalledToTarget) })
	both.Go(func() { p.copy(c, to, stalledFromTarget) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, to)
	p.mu.Unlock()
	c.Close()
	to.Close()
}

// copy forwards one direction until it ends, and forwards the end of the stream. oneWay is the mode that stalls only this
// direction.
func (p *proxy) copy(to, from net.Conn, oneWay linkMode) {
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := from.Read(buffer)
		p.delay(oneWay)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			if t, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = t.CloseWrite() // the other direction stays open
			} else {
				to.Close()
			}
			return
		}
	}
}

// delay blocks while the direction is stalled, and waits for linkDelay on a slow link.
func (p *proxy) delay(oneWay linkMode) {
	for {
		p.mu.Lock()
		mode, changed := p.mode, p.changed
		p.mu.Unlock()
		switch mode {
		case stalled, oneWay:
			<-changed
			continue
		case slow:
			time.Sleep(linkDelay)
		}
		return
	}
}
