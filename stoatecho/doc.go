// Package stoatecho decides where each packet of a flow goes on a fabric whose packets
// bring back what an entry wrote into them.
//
// The cookie of an opening packet names the upstream that was chosen, and every later
// packet brings it to whichever entry it reaches. Nothing has to be remembered for a flow
// to survive; what is remembered serves only to judge upstreams. No I/O, no clock.
package stoatecho
