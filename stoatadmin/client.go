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

// Client calls the administration API of one entry.
type Client struct {
	base string
	http *http.Client
}

const clientTimeout = 30 * time.Second

// NewClient returns a client of the entry whose administration API is at addr (host:port).
func NewClient(addr string) *Client {
	return &Client{base: "http://" + addr, http: &http.Client{Timeout: clientTimeout}}
}

// RefusedError reports an answer other than accepted.
type RefusedError struct {
	Status   int
	Response Response
}

// Error gives the number, the title and the faults, a line each.
func (e *RefusedError) Error() string {
	text := fmt.Sprintf("%s: %s %s", e.Response.Outcome, e.Response.Number, e.Response.Title)
	if e.Response.Version > 0 {
		text += fmt.Sprintf(" (version %d stands)", e.Response.Version)
	}
	if e.Response.Outcome == OutcomeUnknown {
		text += "; ask again with --token " + e.Response.Token
	}
	for _, f := range e.Response.Faults {
		text += "\n" + (&stoatpaddle.Fault{File: f.File, Section: f.Section, Key: f.Key, Got: f.Got, Want: f.Want}).Error()
	}
	for _, line := range e.Response.Differences {
		text += "\n" + line
	}
	return text
}

// ChangeOptions is a conditional change.
type ChangeOptions struct {
	Base  stoatpaddle.Version // 0 creates
	Token string              // empty for a new change
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, ch *ChangeOptions) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, &stoatpaddle.UnavailableError{Op: path, Cause: err}
	}
	if ch != nil {
		if ch.Base == 0 {
			req.Header.Set("If-None-Match", "*")
		} else {
			req.Header.Set("If-Match", strconv.Quote(ch.Base.String()))
		}
		if ch.Token != "" {
			req.Header.Set(HeaderToken, ch.Token)
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

// change sends a change; an answer other than accepted is *RefusedError.
func (c *Client) change(ctx context.Context, method, path string, body []byte, ch *ChangeOptions) (Response, error) {
	status, data, err := c.do(ctx, method, path, body, ch)
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

// read gets a JSON document.
func (c *Client) read(ctx context.Context, path string, into any) error {
	status, data, err := c.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return refused(status, data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return &stoatpaddle.DecodeError{What: path, Cause: err}
	}
	return nil
}

func refused(status int, data []byte) error {
	var a Response
	if err := json.Unmarshal(data, &a); err != nil {
		return &stoatpaddle.DecodeError{What: "answer", Cause: err}
	}
	return &RefusedError{Status: status, Response: a}
}

// Apply creates or amends a contract from its INI text.
func (c *Client) Apply(ctx context.Context, customer stoatpaddle.CustomerID, text []byte, ch ChangeOptions) (Response, error) {
	return c.change(ctx, http.MethodPut, "/v1/contracts/"+string(customer), text, &ch)
}

// Remove removes a contract.
func (c *Client) Remove(ctx context.Context, customer stoatpaddle.CustomerID, ch ChangeOptions) (Response, error) {
	return c.change(ctx, http.MethodDelete, "/v1/contracts/"+string(customer), nil, &ch)
}

// Contract returns a contract's INI text with its version.
func (c *Client) Contract(ctx context.Context, customer stoatpaddle.CustomerID) (string, error) {
	status, data, err := c.do(ctx, http.MethodGet, "/v1/contracts/"+string(customer), nil, nil)
	if err != nil {
		return "", err
	}
	if status != http.StatusOK {
		return "", refused(status, data)
	}
	return string(data), nil
}

// Contracts lists the contracts in force on the entry.
func (c *Client) Contracts(ctx context.Context) ([]stoatstatus.ContractVersion, error) {
	var out []stoatstatus.ContractVersion
	err := c.read(ctx, "/v1/contracts", &out)
	return out, err
}

// Instances lists the instances as the entry sees them.
func (c *Client) Instances(ctx context.Context) ([]stoatstatus.Instance, error) {
	var out []stoatstatus.Instance
	err := c.read(ctx, "/v1/instances", &out)
	return out, err
}

// Status returns what is in force on the entry.
func (c *Client) Status(ctx context.Context) (stoatstatus.Status, error) {
	var out stoatstatus.Status
	err := c.read(ctx, "/v1/status", &out)
	return out, err
}

// Report returns what became of flows and calls on the entry.
func (c *Client) Report(ctx context.Context) (stoatstatus.Report, error) {
	var out stoatstatus.Report
	err := c.read(ctx, "/v1/report", &out)
	return out, err
}

// SetInstanceState marks an instance.
func (c *Client) SetInstanceState(ctx context.Context, id stoatpaddle.InstanceID, state stoatpaddle.InstanceState) (Response, error) {
	body, err := json.Marshal(StateChange{State: string(state)})
	if err != nil {
		return Response{}, &stoatpaddle.DecodeError{What: "mark", Cause: err}
	}
	return c.change(ctx, http.MethodPut, "/v1/instances/"+string(id), body, nil)
}

// Evacuate has the upstreams of a data centre get no new work.
func (c *Client) Evacuate(ctx context.Context, dc stoatpaddle.DataCentreID) (Response, error) {
	return c.change(ctx, http.MethodPut, "/v1/evacuations/"+string(dc), nil, nil)
}

// EndEvacuation ends the evacuation of a data centre.
func (c *Client) EndEvacuation(ctx context.Context, dc stoatpaddle.DataCentreID) (Response, error) {
	return c.change(ctx, http.MethodDelete, "/v1/evacuations/"+string(dc), nil, nil)
}
