// Package stoatoutlier adds up what the entries of a data centre see of their upstreams.
//
// One entry of forty sees a fortieth of an upstream's requests, which is too little to tell a
// failing upstream from a lost packet. So each entry reports what it and the entries below it in
// the relay tree saw to its relay parent, and is sent the sum over all. Only upstreams that
// somebody saw failing are named: in a quiet time nothing is sent.
package stoatoutlier
