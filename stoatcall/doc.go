// Package stoatcall is the HTTP reverse proxy for call services. It forwards each request to one upstream and
// returns the complete answer, or a problem that says whether the request may have run.
package stoatcall
