// Package stoattree decides which entry is whose child in the relay tree, through which the state of the
// platform reaches all entries.
//
// The load on the platform must not grow with the number of entries, as it would if each of them listed and
// watched everything there. Only a few entries read the platform, the seeds that the settings name. Each of
// them relays what it knows to a bounded number of children, and those to their own. No entry keeps a list
// of members: an entry asks one that it knows, which accepts it as a child or names its own children to ask
// instead. The cost for an entry is the same however many there are.
//
// The package performs no I/O and reads no clock.
package stoattree
