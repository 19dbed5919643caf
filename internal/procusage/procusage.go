// Package procusage watches the memory of a process, for tests with real processes.
package procusage

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// interval is the time between two samples of a process's memory.
const interval = 50 * time.Millisecond

// Usage holds the most memory that a process has used so far, in bytes.
type Usage struct {
	Peak     atomic.Int64 // resident memory and unread bytes of one moment
	Resident atomic.Int64
	Unread   atomic.Int64 // bytes that its sockets have received and it has not read
}

// Watch samples the memory of a process until it has ended.
func Watch(pid int, ended <-chan struct{}) *Usage {
	u := &Usage{}
	go func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ended:
				return
			case <-ticker.C:
				u.sample(pid)
			}
		}
	}()
	return u
}

func (u *Usage) sample(pid int) {
	unread := unreadBytes(pid)
	raise(&u.Unread, unread)
	raise(&u.Peak, statusBytes(pid, "VmRSS:")+unread)
	highest := statusBytes(pid, "VmHWM:")
	raise(&u.Resident, highest)
	raise(&u.Peak, highest)
}

func raise(to *atomic.Int64, n int64) { to.Store(max(to.Load(), n)) }

// statusBytes returns a field of a process's status in bytes, or 0 when the process has ended.
func statusBytes(pid int, name string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == name {
			kib, _ := strconv.ParseInt(fields[1], 10, 64) // the system writes a number
			return kib << 10
		}
	}
	return 0
}

// Fields of a line of /proc/net/tcp.
const (
	queuesField = 4 // of the bytes to be sent and to be read, in hexadecimal, separated by a colon
	inodeField  = 9
)

// unreadBytes returns the bytes in the receive queues of a process's TCP connections.
func unreadBytes(pid int) int64 {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	sockets := socketsOf(pid)
	sum := int64(0)
	for _, line := range strings.Split(string(data), "\n")[1:] {
		fields := strings.Fields(line)
		if len(fields) <= inodeField || fields[3] == "0A" || !sockets[fields[inodeField]] { // 0A is a listener, whose queue counts connections
			continue
		}
		_, queue, _ := strings.Cut(fields[queuesField], ":")
		n, _ := strconv.ParseInt(queue, 16, 64) // the system writes a number
		sum += n
	}
	return sum
}

// socketsOf returns the inodes of a process's sockets.
func socketsOf(pid int) map[string]bool {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil
	}
	out := make(map[string]bool, len(entries))
	for _, e := range entries {
		target, _ := os.Readlink(folder + "/" + e.Name()) // fails for a descriptor that has been closed meanwhile
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			out[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return out
}
