package stoatadmin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatstatus"
)

// Client is a client of the administration API of one entry.
type Client struct {
	baseURL string
	http    *http.Client
}

const clientTimeout = 30 * time.Second

// NewClient returns a client of the entry whose administration API is at addr (host:port).
func NewClient(addr string) *Client {
	return &Client{baseURL: "http://" + addr, http: &http.Client{Timeout: clientTimeout}}
}

// RefusedError reports that a change was refused, that its outcome is unknown, or that a read was refused.
type RefusedError struct {
	Status   int
	Response Response
}

// Error returns the outcome, number and title in one line, followed by a line for each fault and each difference
// from the stored contract.
func (e *RefusedError) Error() string {
	text := fmt.Sprintf("%s: %s %s", e.Response.Outcome, e.Response.Number, e.Response.Title)
	if e.Response.Version > 0 {
		text += fmt.Sprintf(" (the stored version is %d)", e.Response.Version)
	}
	if e.Response.Outcome == OutcomeUnknown {
		text += "; repeat the change with --token " + e.Response.Token
	}
	for _, f := range e.Response.Faults {
		text += "\n" + (&stoatpaddle.Fault{File: f.File, Section: f.Section, Key: f.Key, Got: f.Got, Want: f.Want}).Error()
	}
	for _, line := range e.Response.Differences {
		text += "\n" + line
	}
	return text
}

// ChangeOptions holds the options of a conditional change.
type ChangeOptions struct {
	Base  stoatpaddle.Version // version that the change amends; 0 means that the object must not exist yet
	Token string              // idempotency token of an earlier attempt; empty for a new change
}

// do sends a request and returns the status code and the body of the reply. opts is nil for an unconditional
// request.
func (c *Client) do(ctx context.Context, method, path string, body []byte, opts *ChangeOptions) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, &stoatpaddle.UnavailableError{Op: path, Cause: err}
	}
	if opts != nil {
		if opts.Base == 0 {
			req.Header.Set("If-None-Match", "*")
		} else {
			req.Header.Set("If-Match", strconv.Quote(opts.Base.String()))
		}
		if opts.Token != "" {
			req.Header.Set(HeaderToken, opts.Token)
		}
	}
	res, err := c.http.Do(req)
	if err != nil {
		return 0, nil, &stoatpaddle.UnavailableError{Op: path, Cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil, &stoatpaddle.UnavailableError{Op: path, Cause: err}
	}
	return res.StatusCode, data, nil
}

// change sends a change. It returns a *RefusedError unless the outcome is OutcomeAccepted.
func (c *Client) change(ctx context.Context, method, path string, body []byte, opts *ChangeOptions) (Response, error) {
	status, data, err := c.do(ctx, method, path, body, opts)
	if err != nil {
		return Response{}, err
	}
	var a Response
	if err := json.Unmarshal(data, &a); err != nil {
		return Response{}, &stoatpaddle.DecodeError{What: "answer", Cause: err}
	}
	if a.Outcome != OutcomeAccepted {
		return a, &RefusedError{Status: status, Response: a}
	}
	return a, nil
}

// read gets a JSON document and decodes it into the value that into points to.
func (c *Client) read(ctx context.Context, path string, into any) error {
	status, data, err := c.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return refusedError(status, data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return &stoatpaddle.DecodeError{What: path, Cause: err}
	}
	return nil
}

func refusedError(status int, data []byte) error {
	var a Response
	if err := json.Unmarshal(data, &a); err != nil {
		return &stoatpaddle.DecodeError{What: "answer", Cause: err}
	}
	return &RefusedError{Status: status, Response: a}
}

// Apply creates or amends a contract, which is given as INI text.
func (c *Client) Apply(ctx context.Context, customer stoatpaddle.CustomerID, text []byte, opts ChangeOptions) (Response, error) {
	return c.change(ctx, http.MethodPut, "/v1/contracts/"+string(customer), text, &opts)
}

// Remove removes a contract.
func (c *Client) Remove(ctx context.Context, customer stoatpaddle.CustomerID, opts ChangeOptions) (Response, error) {
	return c.change(ctx, http.MethodDelete, "/v1/contracts/"+string(customer), nil, &opts)
}

// Contract returns a contract as INI text, which contains its version.
func (c *Client) Contract(ctx context.Context, customer stoatpaddle.CustomerID) (string, error) {
	status, data, err := c.do(ctx, http.MethodGet, "/v1/contracts/"+string(customer), nil, nil)
	if err != nil {
		return "", err
	}
	if status != http.StatusOK {
		return "", refusedError(status, data)
	}
	return string(data), nil
}

// Contracts lists the contracts in force on the entry.
func (c *Client) Contracts(ctx context.Context) ([]stoatstatus.ContractVersion, error) {
	var out []stoatstatus.ContractVersion
	err := c.read(ctx, "/v1/contracts", &out)
	return out, err
}

// Instances lists the instances that the entry knows, with their states as the entry sees them.
func (c *Client) Instances(ctx context.Context) ([]stoatstatus.Instance, error) {
	var out []stoatstatus.Instance
	err := c.read(ctx, "/v1/instances", &out)
	return out, err
}

// Status returns the configuration in force on the entry and what it knows of instances and the platform.
func (c *Client) Status(ctx context.Context) (stoatstatus.Status, error) {
	var out stoatstatus.Status
	err := c.read(ctx, "/v1/status", &out)
	return out, err
}

// Report returns the entry's counts of flows and calls by their outcome.
func (c *Client) Report(ctx context.Context) (stoatstatus.Report, error) {
	var out stoatstatus.Report
	err := c.read(ctx, "/v1/report", &out)
	return out, err
}

// SetInstanceState sets the state of an instance, which must be joining or leaving.
func (c *Client) SetInstanceState(ctx context.Context, id stoatpaddle.InstanceID, state stoatpaddle.InstanceState) (Response, error) {
	body, err := json.Marshal(StateChange{State: string(state)})
	if err != nil {
		return Response{}, &stoatpaddle.DecodeError{What: "mark", Cause: err}
	}
	return c.change(ctx, http.MethodPut, "/v1/instances/"+string(id), body, nil)
}

// Evacuate begins the evacuation of a data centre, whose upstreams then get no new flows or calls.
func (c *Client) Evacuate(ctx context.Context, dc stoatpaddle.DataCentreID) (Response, error) {
	return c.change(ctx, http.MethodPut, "/v1/evacuations/"+string(dc), nil, nil)
}

// EndEvacuation ends the evacuation of a data centre.
func (c *Client) EndEvacuation(ctx context.Context, dc stoatpaddle.DataCentreID) (Response, error) {
	return c.change(ctx, http.MethodDelete, "/v1/evacuations/"+string(dc), nil, nil)
}
