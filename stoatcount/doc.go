// Package stoatcount counts the bytes that pass a reader or a writer.
package stoatcount
