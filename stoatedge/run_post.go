package stoatedge

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// postClient keeps the connections to the parent and to the entries of other data centres that this entry posts to.
// A connection that has gone silent costs peerTimeout, and is not reused.
var postClient = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: peerTimeout}).DialContext,
	MaxIdleConnsPerHost: 1, IdleConnTimeout: postIdleTimeout, DisableCompression: true,
}}

// postIdleTimeout is how long a connection is kept without posts: after one upstream fails, others usually
// follow within seconds.
const postIdleTimeout = 10 * time.Second

// peerRequest is a POST request to another entry.
type peerRequest struct {
	to       netip.AddrPort
	path     string
	query    string
	body     []byte
	maxBytes int64 // of the response that is read; the rest is discarded
}

// sendRequest sends a request to another entry, and returns the status and the body of the response.
func (e *Edge) sendRequest(x peerRequest) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(e.ctx, peerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+x.to.String()+x.path+"?"+x.query, bytes.NewReader(x.body))
	if err != nil {
		return 0, nil, err
	}
	e.relay.sent.Add(int64(len(x.body)))
	res, err := postClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, x.maxBytes))
	if err != nil {
		return 0, nil, err
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode, data, nil
}
