// Package stoatmessage defines the messages that entries exchange over peer connections.
package stoatmessage
