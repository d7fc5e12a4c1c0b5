// Package stoatgolden replays golden sessions in tests: text files that contain events and, below each event,
// its expected results.
package stoatgolden
