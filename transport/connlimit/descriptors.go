package connlimit

import "golang.org/x/sys/unix"

const (
	// ownDescriptors is the number of descriptors that a process needs besides the connections of callers and to servers:
	// listeners, the store, other instances and operators.
	ownDescriptors = 64
	// callersFraction is the fraction of the other descriptors for callers' connections. Each request in progress may need a
	// connection to a server.
	callersFraction = 0.5
	// MinConns is the least bound on the connections at an address.
	MinConns = 8
)

// DescriptorLimit returns the smaller of the settings' and the system's limit on open descriptors, or 0 when there is none.
func DescriptorLimit(setting float64) float64 {
	var system unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &system); err != nil || system.Cur == unix.RLIM_INFINITY {
		return setting
	}
	if setting == 0 {
		return float64(system.Cur)
	}
	return min(setting, float64(system.Cur))
}

// ForCallers returns the max number of callers' connections; 0 when there is no limit on descriptors.
func ForCallers(descriptors float64) int {
	if descriptors == 0 {
		return 0
	}
	return max(MinConns, int((descriptors-ownDescriptors)*callersFraction))
}

// Fraction returns the max number of connections at another address, which may use the given fraction of the descriptors; 0 when
// there is no limit on descriptors.
func Fraction(descriptors, fraction float64) int {
	if descriptors == 0 {
		return 0
	}
	return max(MinConns, int(descriptors*fraction))
}
