package edge

import (
	"io"
	"net/http"
)

// stream copies a body and returns the number of bytes written. It flushes after each read that
// leaves room in buf: more may come much later.
func stream(w http.ResponseWriter, body io.Reader, buf []byte) (n int64, readErr, writeErr error) {
	flusher, _ := w.(http.Flusher)
	for {
		nr, err := body.Read(buf)
		if nr > 0 {
			nw, werr := w.Write(buf[:nr])
			n += int64(nw)
			if werr != nil {
				return n, nil, werr
			}
			if err == nil && nr < len(buf) && flusher != nil {
				flusher.Flush()
			}
		}
		if err == io.EOF {
			return n, nil, nil
		}
		if err != nil {
			return n, err, nil
		}
	}
}
