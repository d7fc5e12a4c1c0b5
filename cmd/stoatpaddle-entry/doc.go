// Command stoatpaddle-entry runs one entry instance on an echo fabric. It links only what an
// entry runs, so that a machine with a tenth of a core serves soon after a power loss.
package main
