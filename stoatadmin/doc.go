// Package stoatadmin implements the administration API of an entry, and a client of that API.
//
// Contracts are sent as INI, the format in which operators write them; everything else is JSON. A change of a
// contract is conditional on its version, so that operators who amend it at the same time don't overwrite each
// other's changes.
package stoatadmin
