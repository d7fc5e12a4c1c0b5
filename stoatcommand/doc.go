// Package stoatcommand implements the command line: it parses the arguments, calls the package that does the
// work and maps the result to an exit code.
package stoatcommand
