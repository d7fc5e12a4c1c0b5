package stoatspill

import "time"

// Rule is the rule by which openings go to other data centres.
type Rule uint8

// The rules.
const (
	// RuleRoom sends openings in proportion to the published room.
	RuleRoom Rule = iota
	// RuleBoth is RuleRoom with what is seen from here: nothing goes to data centres that reject requests, and until
	// the first room arrives that is younger than the overload, trials show which others do not. It helps sooner when
	// demand moves, and costs requests when all data centres are overloaded at once.
	RuleBoth
	RuleLocal // to the data centre that rejects the least as seen from here, without any bound
	RuleNone  // never
)

// String returns the rule's name.
func (r Rule) String() string { return nameOf(ruleNames[:], int(r)) }

var ruleNames = [...]string{"room", "both", "local", "none"}

// Config configures a Decider; zero values take the defaults.
type Config struct {
	Rule Rule
	// Start is the share of rejected requests or refused openings above which openings spill, and Stop the one
	// below which they return.
	Start, Stop float64
	// StartDelay is how long the share must stay above Start.
	StartDelay time.Duration
	// Hold is how long a spill lasts that no opening needs any more, or for which there is no room.
	Hold time.Duration
}

const (
	// defaultStart is the rejected share that callers bear: with three tries, one in 100,000 requests fails at it.
	// But each rejection costs a round trip and work.
	defaultStart = 0.02
	// defaultStop is half of it, so that a spill that is sufficient does not end at once.
	defaultStop = 0.01
	// defaultStartDelay gives the other data centres time to learn that this one has no room, since a share above
	// defaultStart means none.
	defaultStartDelay = 100 * time.Millisecond
	// defaultHold is longer than the way of a load through the relay tree.
	defaultHold = time.Second
)

func (c Config) withDefaults() Config {
	if c.Start <= 0 {
		c.Start = defaultStart
	}
	if c.Stop <= 0 {
		c.Stop = min(defaultStop, c.Start/2)
	}
	if c.StartDelay <= 0 {
		c.StartDelay = defaultStartDelay
	}
	if c.Hold <= 0 {
		c.Hold = defaultHold
	}
	return c
}

func nameOf(names []string, i int) string {
	if i >= len(names) {
		return "unknown"
	}
	return names[i]
}
