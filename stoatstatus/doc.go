// Package stoatstatus holds what an entry says of itself to operators, as JSON, on either
// fabric. It imports nothing, so that an entry which only answers need not link what asks.
package stoatstatus
