// Package stoatnode makes the control decisions of an entry: about membership, the configuration, the
// platform, and the entry's own planned stop.
//
// Node.Step is a pure reducer: the same events at the same times return the same effects. The caller performs
// the effects and passes their results to Step as new events.
package stoatnode
