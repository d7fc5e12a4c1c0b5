package stoatdemo

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	clientsPerCustomer = 3
	callPause          = 30 * time.Millisecond // before each call of a client
	callTimeout        = 10 * time.Second
	callBodyPart       = "receipt " // repeated 1 to 500 times
)

// startClients starts the clients of the call services.
func (env *environment) startClients() {
	for i, cust := range customers {
		for n := range clientsPerCustomer {
			c := &client{env: env, host: cust.host, rnd: rand.New(rand.NewPCG(env.cfg.Seed, uint64(10+i*clientsPerCustomer+n))), done: make(chan struct{})}
			env.clients = append(env.clients, c)
			env.group.Go(c.run)
		}
	}
}

func (c *client) run() error {
	hc := &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}
	defer hc.CloseIdleConnections()
	for {
		select {
		case <-c.done:
			return nil
		case <-time.After(callPause):
		}
		c.call(hc)
	}
}

// call sends one call to a random entry and counts how it ended.
func (c *client) call(hc *http.Client) {
	c.env.mu.Lock()
	addr := c.env.settings[c.rnd.IntN(len(c.env.settings))].CallAddr
	c.env.mu.Unlock()
	body := strings.Repeat(callBodyPart, 1+c.rnd.IntN(500))
	req, err := http.NewRequest(http.MethodPost, "http://"+addr.String()+"/claim", strings.NewReader(body))
	if err != nil {
		return
	}
	req.Host = c.host
	res, err := hc.Do(req)
	c.mu.Lock()
	defer c.mu.Unlock()
	var op *net.OpError
	switch {
	case err != nil && errors.As(err, &op) && op.Op == "dial":
		c.counts.unreached++
		return
	case err != nil:
		c.counts.cut++
		return
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	switch {
	case err != nil:
		c.counts.cut++
	case res.StatusCode == http.StatusOK:
		c.counts.answered++
	case res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests:
		c.counts.refused++
	default:
		c.counts.unknown++
	}
}

// calls returns the counts of all clients together.
func (env *environment) calls() callCounts {
	var sum callCounts
	for _, c := range env.clients {
		c.mu.Lock()
		sum.answered += c.counts.answered
		sum.refused += c.counts.refused
		sum.unknown += c.counts.unknown
		sum.cut += c.counts.cut
		sum.unreached += c.counts.unreached
		c.mu.Unlock()
	}
	return sum
}
