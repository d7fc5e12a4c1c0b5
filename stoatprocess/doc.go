// Package stoatprocess runs one entry on an echo fabric as a process. It reads the settings file, applies later
// changes of that file, begins the planned stop on a signal, and returns when the entry has stopped.
package stoatprocess
