// Package stoatflow decides to which upstream each packet of a flow goes.
//
// Rendezvous hashing assigns each flow an owner among the entries. The owner chooses the upstream and keeps
// the flow in its table. The upstream that any entry computes by hash need not be copied, so records are
// sent only of tracked flows, which go to another upstream. They are copied to the entry that would own the
// flow next. docs/FLOWS.md gives the reasons and the measurements.
package stoatflow
