// Command stoatpaddle-entry runs one entry instance on an echo fabric. It links only the packages that an entry
// needs, so that a machine with a tenth of a core starts to serve soon after a power loss.
package main
