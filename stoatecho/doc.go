// Package stoatecho decides where each packet of a flow goes on an echo fabric: one whose packets carry back the
// cookie that an entry wrote into them.
//
// A flow begins with an opening (a TCP SYN or a first UDP packet). The entry that receives the opening chooses an
// upstream and names it in the cookie. Every later packet brings that cookie to whichever entry it reaches, so
// that no entry has to remember a flow for the flow to survive. What an entry does remember serves only to judge
// upstreams: their load, and whether they are alive. Upstreams answer callers directly, so an entry sees only the
// callers' packets and infers answers from their acknowledgements.
//
// Two terms are kept apart: an entry refuses an opening, and an upstream rejects a request.
//
// The package performs no I/O and reads no clock.
package stoatecho
