// Package stoatpeer carries messages between entries over TCP.
//
// A frame consists of a length of four bytes, a version byte, a kind byte and a msgpack body. Domain types
// carry no msgpack tags; the codec encodes and decodes each message field by field.
package stoatpeer
