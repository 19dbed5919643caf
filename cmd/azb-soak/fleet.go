package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"azurebridge/internal/freeport"
)

// domains are the failure domains of the deployment, with their regions.
var domains = []struct{ name, region string }{
	{"north-a", "north"}, {"north-b", "north"}, {"south-a", "south"}, {"south-b", "south"},
}

// instance is one azb-front instance. Its process may be stopped and started again.
type instance struct {
	name      string
	domain    int // index in domains
	binary    string
	dir       string
	link      *proxy // to the store
	callers   string // this and the following: listening addresses
	directory string
	ready     string
	metrics   string

	disturbances disturbances

	mu              sync.Mutex
	cmd             *exec.Cmd // nil while no process runs
	paused          bool
	terminating     bool     // SIGTERM or SIGKILL has been sent to the process
	unexpectedExits []string // descriptions of exits that were not requested
}

// newInstance starts the proxy to the store and writes the settings file of an instance. No process runs before start.
func newInstance(number int, binary, dir, store string) (*instance, error) {
	link, err := newProxy(store)
	if err != nil {
		return nil, err
	}
	i := &instance{
		name: fmt.Sprintf("front-%d", number), domain: number % len(domains), binary: binary, dir: dir, link: link,
	}
	var listen [5]string
	for n := range listen {
		if listen[n], err = ports.Next(); err != nil {
			return nil, err
		}
	}
	i.callers, i.directory, i.ready, i.metrics = listen[0], listen[1], listen[2], listen[3]
	var b strings.Builder
	d := domains[i.domain]
	fmt.Fprintf(&b, "[instance]\nname = %s\nregion = %s\ndomain = %s\n", i.name, d.region, d.name)
	fmt.Fprintf(&b, "[listen]\ncallers = %s\ndirectory = %s\nready = %s\nmetrics = %s\npeers = %s\n", listen[0], listen[1], listen[2], listen[3], listen[4])
	fmt.Fprintf(&b, "[store]\naddress = %s\n[limits]\nstop_grace = %s\nretry_ratio = 0.2\nretry_extra = 100\n", link.address(), stopGrace)
	for _, d := range domains {
		fmt.Fprintf(&b, "[domain %s]\nregion = %s\n", d.name, d.region)
	}
	return i, errors.Wrap(os.WriteFile(i.path("ini"), []byte(b.String()), 0o600), "write settings")
}

// The instances' ports lie below the system's ephemeral ports; an outgoing connection could otherwise take the port of an
// instance that is down. Each azb-soak process uses a block chosen by its process id, so that concurrent processes seldom
// collide.
const (
	firstPort     = 12_000
	portBlocks    = 300
	portsPerBlock = 64
)

var ports = freeport.Range{First: firstPort + os.Getpid()%portBlocks*portsPerBlock, Count: portsPerBlock}

func (i *instance) path(extension string) string { return filepath.Join(i.dir, i.name+"."+extension) }

// start starts the instance's process unless it is running. The output is appended to the instance's log file.
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
	i.cmd, i.terminating, i.paused = cmd, false, false
	go i.wait(cmd, log)
	return nil
}

// wait waits for a process to exit, and records an exit that was not requested.
func (i *instance) wait(cmd *exec.Cmd, log *os.File) {
	err := cmd.Wait()
	log.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.terminating {
		i.unexpectedExits = append(i.unexpectedExits, fmt.Sprintf("process %d of %s exited unexpectedly: %v", cmd.Process.Pid, i.name, err))
	}
	i.cmd = nil
}

// signal sends a signal to the process and reports whether it was sent. It is not sent when no process runs or the process is
// already terminating; a paused process gets only SIGCONT and SIGKILL.
func (i *instance) signal(sig syscall.Signal) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil || i.terminating || i.paused && sig != syscall.SIGCONT && sig != syscall.SIGKILL {
		return false
	}
	switch sig {
	case syscall.SIGKILL, syscall.SIGTERM:
		i.terminating = true
	case syscall.SIGSTOP:
		i.paused = true
	case syscall.SIGCONT:
		i.paused = false
	}
	return i.cmd.Process.Signal(sig) == nil
}

// waitExited waits until no process runs. It returns false after the timeout.
func (i *instance) waitExited(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		i.mu.Lock()
		exited := i.cmd == nil
		i.mu.Unlock()
		if exited {
			return true
		}
	}
	return false
}
