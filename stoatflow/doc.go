// Package stoatflow decides to which upstream each packet of a flow goes.
//
// Rendezvous hashing assigns each flow an owner among the entries and a preferred upstream. The owner
// chooses the upstream and keeps the flow in its table. A flow at its preferred upstream needs no copy,
// because any entry can compute where it goes. Only tracked flows, which go to another upstream, are copied
// to the entry that would own them next. docs/FLOWS.md gives the reasons and the measurements.
package stoatflow
