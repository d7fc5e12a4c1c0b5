// Package stoatprocess runs one entry on an echo fabric as a process: it reads the settings
// file, follows its changes and the signals, and ends when the entry has stopped.
package stoatprocess
