package quota

import (
	"time"
)

// Bounds on the requests that reach a server with a limit. In any span of limitWindow it gets at most limitFactor times what its
// rate allows, and limitTolerance more.
const (
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitTolerance = 5 // requests
	// limitSafety is the part of that bound which is divided among the instances. The rest covers probes, and instances whose
	// lists of instances differ for a moment.
	limitSafety = 0.85
	// limitJitter is the time by which two requests of one instance may come closer to each other on their way.
	limitJitter = 500 * time.Millisecond
	// probeShare is the part of a limit left to instances that are no senders. Their requests also tell them when it ends.
	probeShare = 0.2
	// maxLimitInterval bounds the time after which each instance finds out whether a limit has ended.
	maxLimitInterval = 10 * time.Minute
)

// LimitPace returns this instance's part of a limit of rate requests/s, which a server names for all instances together. instances
// is their number; 0 when it is unknown, and then the instance must not use what others may be using. isSender reports whether this
// instance is among the first n for the server (IsSender), and spread is a number from 0 to 1 that differs between instances.
//
// As many instances are senders as may each send once in limitWindow. They have equal parts of the bound; the others together have
// probeShare of the limit, at intervals that differ, since they may all have heard of the limit at the same time.
func LimitPace(rate float64, instances int, isSender func(n int) bool, spread float64) Pace {
	if instances == 0 {
		return Pace{Count: 1, Per: maxLimitInterval}
	}
	inWindow := limitSafety * (limitFactor*rate*limitWindow.Seconds() + limitTolerance)
	senders := min(instances, max(1, int(inWindow)))
	if !isSender(senders) {
		return Pace{Count: 1, Per: seconds((0.5 + spread) * float64(instances) / (probeShare * rate))}
	}
	used := limitFactor * rate // of all senders, in the mean
	if senders < instances {
		used -= probeShare * rate
	}
	perSender := max(1, int(inWindow)/senders)
	parts := (perSender + MaxPaceCount - 1) / MaxPaceCount // of the window, so that the count of each stays within its bound
	count := perSender / parts
	return Pace{Count: count, Per: max(seconds(float64(count*senders)/used), (limitWindow+limitJitter)/time.Duration(parts))}
}

// seconds returns a number of seconds as a duration of at most maxLimitInterval.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxLimitInterval.Seconds()) * float64(time.Second))
}
