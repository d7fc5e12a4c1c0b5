// Package stoatevent holds the catalogue of numbered events and problems, and writes events to the log.
//
// Each package registers its definitions next to the code that emits them. The explain command and
// docs/EVENTS.md print the catalogue.
package stoatevent
