// Package stoatstatus defines the JSON types in which an entry reports its state to operators, on both kinds
// of fabric. It imports nothing, so that a program that only serves these types does not link the
// client of the administration API.
package stoatstatus
