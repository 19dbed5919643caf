// Package eventlog writes a process's log without ever making the process wait: lines go through a bounded buffer to one
// goroutine that writes them. Lines that find the buffer full are counted and left out.
package eventlog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// Bounds of the buffer.
const (
	maxLines = 512     // lines that wait
	maxLine  = 4 << 10 // bytes of a line; the rest is cut
)

// Writer is an io.Writer that never waits. Each Write is one line.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	Dropped atomic.Uint64 // lines left out because the buffer was full
}

// NewWriter returns a writer to out; Run writes.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, maxLines)}
}

// Write takes a line. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	kept := line
	if len(kept) > maxLine {
		kept = append(append([]byte(nil), line[:maxLine-1]...), '\n')
	} else {
		kept = append([]byte(nil), line...)
	}
	select {
	case w.lines <- kept:
	default:
		w.Dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until ctx ends, then those that wait.
func (w *Writer) Run(ctx context.Context) {
	told := uint64(0)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-ctx.Done():
			w.flush()
			return
		}
		if n := w.Dropped.Load(); n != told && len(w.lines) == 0 {
			w.write([]byte(fmt.Sprintf("{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"lines\":%d}\n", n-told)))
			told = n
		}
	}
}

func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// write passes a line on. There is nowhere to report that the log itself fails.
func (w *Writer) write(line []byte) { _, _ = w.out.Write(line) }
