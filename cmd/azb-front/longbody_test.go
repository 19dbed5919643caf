package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/platform/standin"
)

// Guards against the loss of the rest of a body whose server answers with success before it has read all of it and reads on later:
// the caller has been told that the request succeeded, and goes on using its connection.
func TestBodyArrivesWholeAfterAnEarlySuccess(t *testing.T) {
	for _, size := range []int{900 << 10, 2 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFixture(t, 1)
			f.servers[0].Set(standin.Early)
			c, err := net.Dial("tcp", f.program.cfg.Callers.String())
			f.Expect(err).NotTo(HaveOccurred())
			defer c.Close()
			const head = "POST /write/a HTTP/1.1\r\nHost: " + standin.Host + "\r\nRequest-Id: r-%d\r\nContent-Length: %d\r\n\r\n"
			sent := make(chan error, 1)
			go func() {
				_, err := io.WriteString(c, fmt.Sprintf(head, 1, size)+strings.Repeat("x", size))
				sent <- err
			}()
			reader := bufio.NewReader(c)
			answer := func() {
				resp, err := http.ReadResponse(reader, nil)
				f.Expect(err).NotTo(HaveOccurred())
				_, err = io.ReadAll(resp.Body)
				f.Expect(err).NotTo(HaveOccurred())
				f.Expect(resp.StatusCode).To(Equal(http.StatusOK))
				f.Expect(resp.Close).To(BeFalse())
			}
			answer()
			time.Sleep(1500 * time.Millisecond) // longer than a host may leave bytes without an acknowledgement
			f.servers[0].Release()
			f.Eventually(sent, waitTimeout).Should(Receive(BeNil()))
			f.Eventually(f.servers[0].LateBodies, waitTimeout).Should(Equal([]int{size}))
			_, err = io.WriteString(c, fmt.Sprintf(head, 2, 0))
			f.Expect(err).NotTo(HaveOccurred())
			answer()
		})
	}
}
