// Package stoatplatform is a client of the platform's object API over HTTP and JSON.
//
// docs/PLATFORM.md describes the wire format. The conversions to and from the wire types are exported for
// other users of the API, such as the fake platform.
package stoatplatform
