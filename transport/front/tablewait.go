package front

import "time"

// Bounds of the wait for the first routing table, beside Options.TableWait.
const (
	maxTableWaitPart = 4   // a request waits for at most this part of its caller's timeout
	maxTableWaiters  = 512 // requests
)

// awaitTable waits until the instance has a routing table, within the bounds. It returns early when the caller leaves.
func (q *request) awaitTable() {
	m := q.m
	if q.view.Table != nil {
		return
	}
	defer m.tableWaiters.Add(-1)
	if m.tableWaiters.Add(1) > maxTableWaiters {
		return
	}
	wait := m.opts.TableWait
	if q.caller.Timeout > 0 {
		wait = min(wait, q.caller.Timeout/maxTableWaitPart)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-m.opts.Loop.TableReady():
	case <-q.r.Context().Done():
	case <-timer.C:
	}
	q.view = m.opts.Loop.View()
}
