package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// domains are the failure domains of the deployment, with their regions.
var domains = []struct{ name, region string }{
	{"north-a", "north"}, {"north-b", "north"}, {"south-a", "south"}, {"south-b", "south"},
}

// instance is one azb-front process.
type instance struct {
	name    string
	domain  int // number of its failure domain
	binary  string
	dir     string
	link    *proxy // to the store
	callers string // addresses
	lookups string
	ready   string
	metrics string

	trouble trouble

	mu     sync.Mutex
	cmd    *exec.Cmd // nil while no process runs
	paused bool
	ending bool     // the process has been told to end
	faults []string // processes that ended by themselves
}

// newInstance writes the settings of an instance. Nothing runs before start.
func newInstance(number int, binary, dir, store string) (*instance, error) {
	link, err := newProxy(store)
	if err != nil {
		return nil, err
	}
	i := &instance{
		name: fmt.Sprintf("front-%d", number), domain: number % len(domains), binary: binary, dir: dir, link: link,
	}
	var ports [5]string
	for n := range ports {
		if ports[n], err = freePort(); err != nil {
			return nil, err
		}
	}
	i.callers, i.lookups, i.ready, i.metrics = ports[0], ports[1], ports[2], ports[3]
	var b strings.Builder
	d := domains[i.domain]
	fmt.Fprintf(&b, "[instance]\nname = %s\nregion = %s\ndomain = %s\n", i.name, d.region, d.name)
	fmt.Fprintf(&b, "[listen]\ncallers = %s\ndirectory = %s\nready = %s\nmetrics = %s\npeers = %s\n", ports[0], ports[1], ports[2], ports[3], ports[4])
	fmt.Fprintf(&b, "[store]\naddress = %s\n[limits]\nstop_grace = %s\nretry_ratio = 0.2\nretry_extra = 100\n", link.address(), stopGrace)
	for _, d := range domains {
		fmt.Fprintf(&b, "[domain %s]\nregion = %s\n", d.name, d.region)
	}
	return i, errors.Wrap(os.WriteFile(i.path("ini"), []byte(b.String()), 0o600), "write settings")
}

// Ports of instances lie below those that the system gives to connections, which could take the port of one that is down.
// Each process of the soak has a block of its own, so that two that run at the same time seldom meet.
const (
	firstPort  = 12_000
	portBlocks = 300
	portBlock  = 64
)

var lastPort atomic.Uint32 // within the block

// freePort returns a loopback address whose port is free for TCP and UDP.
func freePort() (string, error) {
	first := firstPort + os.Getpid()%portBlocks*portBlock
	for range portBlock {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(first+int(lastPort.Add(1)%portBlock)))
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue // taken
		}
		packets, err := net.ListenPacket("udp", address)
		ln.Close()
		if err == nil {
			packets.Close()
			return address, nil
		}
	}
	return "", errors.Errorf("all %d ports from %d on are taken", portBlock, first)
}

func (i *instance) path(extension string) string { return filepath.Join(i.dir, i.name+"."+extension) }

// start starts a process unless one runs. Its log is appended to the instance's file.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(i.path("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	cmd := exec.Command(i.binary, "--config", i.path("ini"))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		log.Close()
		return errors.Wrapf(err, "start %s", i.name)
	}
	i.cmd, i.ending, i.paused = cmd, false, false
	go i.wait(cmd, log)
	return nil
}

// wait notes the end of a process.
func (i *instance) wait(cmd *exec.Cmd, log *os.File) {
	err := cmd.Wait()
	log.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.ending {
		i.faults = append(i.faults, fmt.Sprintf("process %d of %s ended by itself: %v", cmd.Process.Pid, i.name, err))
	}
	i.cmd = nil
}

// signal sends a signal to the process, if one runs that has not been told to end.
func (i *instance) signal(sig syscall.Signal) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil || i.ending || i.paused && sig != syscall.SIGCONT && sig != syscall.SIGKILL {
		return false
	}
	switch sig {
	case syscall.SIGKILL, syscall.SIGTERM:
		i.ending = true
	case syscall.SIGSTOP:
		i.paused = true
	case syscall.SIGCONT:
		i.paused = false
	}
	return i.cmd.Process.Signal(sig) == nil
}

// ended waits until no process runs.
func (i *instance) ended(patience time.Duration) bool {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		i.mu.Lock()
		gone := i.cmd == nil
		i.mu.Unlock()
		if gone {
			return true
		}
	}
	return false
}
