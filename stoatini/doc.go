// Package stoatini parses INI files into typed values. It reports every fault with its file, section and key
// and with what was expected there.
package stoatini
