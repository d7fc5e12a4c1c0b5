// Package stoatcount wraps readers and writers to count the bytes that pass through them.
package stoatcount
