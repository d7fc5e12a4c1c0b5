// Package stoatcontract parses contracts from operators' INI files, validates them alone and against each
// other, and encodes them as the JSON that is stored on the platform.
package stoatcontract
