// Package eventlog writes a process's log without ever blocking the process: lines go through a bounded buffer to one goroutine
// that writes them. Lines that arrive while the buffer is full are dropped and counted.
package eventlog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

const (
	maxLines     = 512     // lines in the buffer
	maxLineBytes = 4 << 10 // longer lines are truncated
)

// Writer is an io.Writer that never blocks. Each call of Write passes one line.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	Dropped atomic.Uint64 // lines dropped because the buffer was full
}

// NewWriter returns a writer to out. Its lines are written by Run.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, maxLines)}
}

// Write queues a copy of a line, or drops the line when the buffer is full. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	copied := line
	if len(copied) > maxLineBytes {
		copied = append(append([]byte(nil), line[:maxLineBytes-1]...), '\n')
	} else {
		copied = append([]byte(nil), line...)
	}
	select {
	case w.lines <- copied:
	default:
		w.Dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until ctx ends, then those left in the buffer. When the buffer has become empty, it writes how many lines
// were dropped.
func (w *Writer) Run(ctx context.Context) {
	reported := uint64(0)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-ctx.Done():
			w.flush()
			return
		}
		if n := w.Dropped.Load(); n != reported && len(w.lines) == 0 {
			w.write([]byte(fmt.Sprintf("{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"lines\":%d}\n", n-reported)))
			reported = n
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

// write writes a line. It ignores errors, because there is nowhere to report that the log itself fails.
func (w *Writer) write(line []byte) { _, _ = w.out.Write(line) }
