// Package stoatmeasure simulates parts of the system in virtual time and measures how they behave.
//
// The experiments on the flow engine run the real engines and views of many entries, connected by an
// in-memory event queue. Each link has a delay, and a seed determines all random choices. Next to each entry, a
// naive one sees the same packets and serves as the baseline. Further experiments model an echo fabric (see
// stoatecho): how entries choose upstreams, refuse flows in an overload and detect silent upstreams.
//
// The package is not a cluster simulator: there are no sockets, no platform and no replication of objects.
// What each entry learns, and when, is part of the experiment.
package stoatmeasure
