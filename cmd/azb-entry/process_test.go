package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/internal/freeport"
	"azurebridge/internal/procusage"
)

// Limits of the process under test, and the crowd.
const (
	bodyMemory = 8 << 20
	maxConns   = 256
	// maxMemory bounds resident memory and unread bytes together, in MiB: a process without callers takes about a third of it.
	maxMemory   = 96
	crowd       = 600
	bufferable  = 256 << 10 // size of the largest body that is buffered
	waitTimeout = 90 * time.Second
	// crowdTime is how long the crowd goes on before the process is checked.
	crowdTime   = 10 * time.Second
	returnPause = 100 * time.Millisecond
)

// Files of a deployment with one backend server. The arguments are addresses.
const (
	standinFormat = "[listen]\nplatform = %s\ncontrol = %s\n[deployment]\nfile = deployment.ini\n[service orders]\nwork = 1ms\nbody_bytes = 256\n" +
		"[instance entry-1]\nregion = north\ndomain = north-a\ncallers = %s\nfleet = %s\n"
	deploymentFormat = "[region north]\ndomains = north-a\nmax_running = 6\n[service orders]\nkind = submission\nfirst_byte_timeout = 10s\nqueue_timeout = 5s\n" +
		"[backend b-1]\nservice = orders\naddress = %s\nregion = north\ndomain = north-a\nslots = 6\nmax_connections = 100\n"
	plansText     = "[plan all]\nregions = north\nservices = orders\norders.share = 100%\norders.burst = 100%\norders.latency = 1s\n"
	customersText = "[customer c]\nplan = all\n"
	entryFormat   = "[instance]\nname = entry-1\nfleet = test\nregion = north\ndomain = north-a\n[listen]\ncallers = %s\nfleet = %s\noperators = %s\n" +
		"[platform]\naddress = %s\n[tls]\nauthority = authority.pem\ncertificate = entry-1.pem\nkey = entry-1.key\n[limits]\n%s"
	limitsFormat = "body_memory_bytes = %d\nmax_connections = %d\n"
)

// ports are those of the processes.
var ports = freeport.Range{First: 28_300, Count: 1_400}

func init() { ports.Skip(os.Getpid() * 97) }

// deployment is one azb-entry with its stand-ins, each as a process of its own.
type deployment struct {
	*WithT
	t       *testing.T
	folder  string
	callers string
	entry   *exec.Cmd
	ended   chan struct{} // closed when azb-entry has ended

	lastAnswer string // to a submission
	usage      *procusage.Usage
}

func (d *deployment) port() string {
	address, err := ports.Next()
	d.Expect(err).NotTo(HaveOccurred())
	return address
}

func (d *deployment) write(name, text string) {
	d.Expect(os.WriteFile(filepath.Join(d.folder, name), []byte(text), 0o600)).To(Succeed())
}

// start starts a program in the folder and returns it with a channel that is closed when it has ended.
func (d *deployment) start(program string, args ...string) (*exec.Cmd, chan struct{}) {
	command, ended := exec.Command(filepath.Join(d.folder, program), args...), make(chan struct{})
	command.Dir = d.folder
	output := &bytes.Buffer{}
	command.Stdout, command.Stderr = output, output
	d.Expect(command.Start()).To(Succeed())
	go func() { _ = command.Wait(); close(ended) }()
	d.t.Cleanup(func() {
		_ = command.Process.Kill()
		<-ended
		if d.t.Failed() {
			d.t.Logf("output of %s: %.2000s", program, output.String())
		}
	})
	return command, ended
}

// run runs a program in the folder to its end.
func (d *deployment) run(program string, args ...string) error {
	command := exec.Command(filepath.Join(d.folder, program), args...)
	command.Dir = d.folder
	return command.Run()
}

// startDeployment starts azb-entry with the given lines of its section of limits, and waits until it serves a submission.
func startDeployment(t *testing.T, limits string) *deployment {
	t.Helper()
	d := &deployment{WithT: NewWithT(t), t: t, folder: t.TempDir()}
	for _, program := range []string{"azb-entry", "azb-standin", "azb-ctl"} {
		built, err := exec.Command("go", "build", "-o", filepath.Join(d.folder, program), "../"+program).CombinedOutput()
		d.Expect(err).NotTo(HaveOccurred(), string(built))
	}
	store, fleet := d.port(), d.port()
	d.callers = d.port()
	d.write("standin.ini", fmt.Sprintf(standinFormat, store, d.port(), d.callers, fleet))
	d.write("deployment.ini", fmt.Sprintf(deploymentFormat, d.port()))
	d.write("plans.ini", plansText)
	d.write("customers.ini", customersText)
	d.write("entry.ini", fmt.Sprintf(entryFormat, d.callers, fleet, d.port(), store, limits))
	d.Expect(d.run("azb-ctl", "keys", "--folder", ".", "--fleet", "test", "entry-1")).To(Succeed())
	d.start("azb-standin", "--config", "standin.ini")
	d.entry, d.ended = d.start("azb-entry", "--config", "entry.ini")
	d.usage = procusage.Watch(d.entry.Process.Pid, d.ended)
	d.Eventually(func() error {
		return d.run("azb-ctl", "apply", "--store", store, "--deployment", "deployment.ini", "--plans", "plans.ini", "--customers", "customers.ini")
	}, waitTimeout, returnPause).Should(Succeed())
	d.Eventually(d.submit, waitTimeout, returnPause).Should(Equal(http.StatusOK), func() string { return d.lastAnswer })
	return d
}

// submit sends a small submission and returns the status of its answer, or 0.
func (d *deployment) submit() int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}
	r, err := http.NewRequest(http.MethodPost, "http://"+d.callers+"/orders/1", strings.NewReader(`{"id":"1"}`))
	d.Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Azb-Customer", "c")
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	d.lastAnswer = string(body)
	return resp.StatusCode
}

// Guards against a process whose memory grows with the number of submissions whose bodies stop just short of their end, each within
// its limit, and that serves nobody else then.
func TestManySubmissionsShortOfTheirEnd(t *testing.T) {
	d := startDeployment(t, fmt.Sprintf(limitsFormat, bodyMemory, maxConns))
	request := fmt.Sprintf("POST /orders/1 HTTP/1.1\r\nHost: x\r\nAzb-Customer: c\r\nContent-Length: %d\r\n\r\n%s", bufferable, strings.Repeat("x", bufferable-1))
	stop := make(chan struct{})
	var running sync.WaitGroup
	for range crowd {
		running.Go(func() {
			for {
				d.comeOnce(request, stop)
				select {
				case <-stop:
					return
				case <-time.After(returnPause):
				}
			}
		})
	}
	time.Sleep(crowdTime)
	close(stop)
	running.Wait()
	status := d.submit()
	t.Logf("peak %d MiB resident and unread, %d MiB resident and %d MiB unread at most, ordinary submission %d",
		d.usage.Peak.Load()>>20, d.usage.Resident.Load()>>20, d.usage.Unread.Load()>>20, status)
	d.Expect(d.ended).NotTo(BeClosed(), "the process lives")
	d.Expect(d.usage.Peak.Load() >> 20).To(BeNumerically("<=", maxMemory))
	d.Expect(status).To(Equal(http.StatusOK))
}

// comeOnce sends the request on a connection of its own, which stays open until the other side closes it or the end of the test.
func (d *deployment) comeOnce(request string, stop <-chan struct{}) {
	c, err := net.Dial("tcp", d.callers)
	if err != nil {
		return
	}
	if _, err := io.WriteString(c, request); err != nil {
		c.Close()
		return
	}
	closed := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, c) // until the other side closes or resets the connection
		close(closed)
	}()
	select {
	case <-closed:
		c.Close()
	case <-stop:
		d.t.Cleanup(func() { c.Close() })
	}
}
