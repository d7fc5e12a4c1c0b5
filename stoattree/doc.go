// Package stoattree decides who tells whom what the platform says.
//
// The load: a platform whose rates do not grow with the fleet, and entries that would each
// list and watch everything there. Few entries read it, the seeds that the settings name;
// each tells a bounded number of others, and those tell the next ones. Nobody keeps a list of
// members: an entry asks one that it knows, which takes it as a child or names its own
// children. What an entry does costs the same however many there are.
//
// The package performs no I/O and reads no clock.
package stoattree
