package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"azurebridge/protocol/operatorapi"
	"azurebridge/transport/identity"
	"azurebridge/transport/platform"
)

// dialTimeout bounds the wait for a connection to one instance.
const dialTimeout = 2 * time.Second

// instanceFlags are the flags of commands that call instances. The instances are tried in the order given.
type instanceFlags struct {
	Instance []string      `help:"Operators' interface of an instance, host:port. Give it several times to try the next when one is unreachable." env:"AZB_INSTANCE" required:""`
	Keys     string        `help:"Folder with NAME.pem, NAME.key and authority.pem." env:"AZB_KEYS" required:"" type:"path"`
	As       string        `help:"NAME of the operator's certificate." default:"operator"`
	Timeout  time.Duration `help:"Longest wait for one instance." default:"20s"`
}

// client calls the operators' interface of instances.
type client struct {
	instances []string
	http      *http.Client
}

func (r *instanceFlags) client() (*client, error) {
	files := identity.Files{
		Authority:   filepath.Join(r.Keys, identity.AuthorityCertFile),
		Certificate: filepath.Join(r.Keys, r.As+".pem"),
		Key:         filepath.Join(r.Keys, r.As+".key"),
	}
	fleet, err := identity.FleetOf(files.Certificate)
	if err != nil {
		return nil, &inputError{err}
	}
	id, err := identity.Load(fleet, files)
	if err != nil {
		return nil, &inputError{err}
	}
	return &client{instances: r.Instance, http: &http.Client{Timeout: r.Timeout, Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig:     id.Client(identity.RoleInstance, "http/1.1"),
		TLSHandshakeTimeout: dialTimeout,
	}}}, nil
}

// get reads from the first instance that answers.
func (c *client) get(path string, into any) error { return c.call(http.MethodGet, path, nil, into) }

// post requests a change. The body contains a request id, so that a retry at the next instance cannot make the change twice.
func (c *client) post(path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrapf(err, "%s", path)
	}
	return c.call(http.MethodPost, path, data, into)
}

// call tries the instances in order until one succeeds or rejects the call as invalid or conflicting. When a change may have
// been sent and no instance returned a definite outcome, the cause is platform.ErrUncertain.
func (c *client) call(method, path string, body []byte, into any) error {
	var lastErr error
	uncertain := false
	for _, instance := range c.instances {
		sent, err := c.callInstance(method, instance, path, body, into)
		if err == nil {
			return nil
		}
		var apiErr *operatorapi.Error
		if errors.As(err, &apiErr) && (apiErr.Kind == operatorapi.ErrorInvalid || apiErr.Kind == operatorapi.ErrorConflict) {
			return err
		}
		if apiErr != nil {
			sent = apiErr.Kind == operatorapi.ErrorUnknown
		}
		uncertain = uncertain || (sent && method == http.MethodPost)
		lastErr = err
	}
	if uncertain {
		return errors.Wrapf(platform.ErrUncertain, "%s: %v", path, lastErr)
	}
	return lastErr
}

// callInstance calls one instance. On an error, sent reports whether the instance may have acted on the call nevertheless.
func (c *client) callInstance(method, instance, path string, body []byte, into any) (sent bool, err error) {
	wrote := false
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{WroteHeaders: func() { wrote = true }})
	req, err := http.NewRequestWithContext(ctx, method, "https://"+instance+path, bytes.NewReader(body))
	if err != nil {
		return false, &inputError{errors.Wrapf(err, "instance %s", instance)}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return wrote && !certificateRefused(err), errors.Wrapf(err, "instance %s", instance)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, operatorapi.MaxReply))
	if err != nil {
		return true, errors.Wrapf(err, "instance %s: read reply", instance)
	}
	if resp.StatusCode != http.StatusOK {
		apiErr := &operatorapi.Error{}
		if json.Unmarshal(data, apiErr) != nil || apiErr.Kind == "" {
			return true, errors.Errorf("instance %s: status %d: %.200s", instance, resp.StatusCode, data)
		}
		return false, errors.Wrapf(apiErr, "instance %s", instance)
	}
	return true, errors.Wrapf(json.Unmarshal(data, into), "instance %s: malformed reply", instance)
}

// certificateRefused reports whether the instance aborted the TLS handshake because of the client's certificate. With TLS 1.3
// the client may have sent its request by then, but an instance acts on a request only after the handshake. The alert has
// no exported type, so the error's text is examined.
func certificateRefused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "remote error" && strings.Contains(op.Err.Error(), "certificate")
}
