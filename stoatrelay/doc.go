// Package stoatrelay is what an entry sends those below it in the relay tree, and its codec: what the
// platform says, how far that is known and how old it is, what the data centre saw of upstreams, and the
// receiver's place among its entries. No decisions, no I/O but the codec's.
package stoatrelay
