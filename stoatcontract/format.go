package stoatcontract

import (
	"fmt"
	"strings"

	"github.com/stoatpaddle/stoatpaddle"
)

// Format returns the contract as INI that Parse reads. base is the contract's version on the platform; 0 leaves
// it out.
func Format(c stoatpaddle.Contract, base stoatpaddle.Version) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[contract]\ncustomer = %s\nlean = %s\n", c.Customer, c.Preference)
	if base > 0 {
		fmt.Fprintf(&b, "version = %s\n", base)
	}
	fmt.Fprintf(&b, "\n[limits]\nflows = %d\nopens = %d\ncalls = %d\nrate = %d\n",
		c.Limits.Flows, c.Limits.OpenRate, c.Limits.Calls, c.Limits.CallRate)
	for i := range c.Services {
		formatService(&b, &c.Services[i])
	}
	return b.String()
}

func formatService(b *strings.Builder, s *stoatpaddle.Service) {
	fmt.Fprintf(b, "\n[service %s]\nkind = %s\n", s.ID, s.Kind)
	if s.Kind == stoatpaddle.KindCall {
		fmt.Fprintf(b, "host = %s\n", s.Host)
		if s.HasPriority {
			fmt.Fprintf(b, "priority = %d\n", s.Priority)
		}
	} else {
		fmt.Fprintf(b, "address = %s\nproto = %s\nports = %s\n", s.Addr, s.Protocol, joinPorts(s.Ports))
	}
	if len(s.CentreWeights) > 0 {
		fmt.Fprintf(b, "\n[share %s]\n", s.ID)
		for _, c := range s.CentreWeights {
			fmt.Fprintf(b, "%s = %d\n", c.DataCentre, c.Weight)
		}
	}
	for _, u := range s.Upstreams {
		fmt.Fprintf(b, "\n[upstream %s]\nservice = %s\ncentre = %s\naddress = %s\nweight = %d\nslots = %d\nconnections = %d\nopens = %d\n",
			u.ID, s.ID, u.DataCentre, u.Addr, u.Weight, u.Slots, u.MaxFlows, u.MaxOpenRate)
	}
}

func joinPorts(ports []uint16) string {
	parts := make([]string, 0, len(ports))
	for _, p := range ports {
		parts = append(parts, fmt.Sprint(p))
	}
	return strings.Join(parts, ", ")
}

// Diff returns the lines, each with its section, that only one of the contracts has: those of a with "-" and
// those of b with "+".
func Diff(a, b stoatpaddle.Contract) []string {
	left, right := qualifiedLines(Format(a, 0)), qualifiedLines(Format(b, 0))
	var out []string
	for _, line := range left {
		if !contains(right, line) {
			out = append(out, "- "+line)
		}
	}
	for _, line := range right {
		if !contains(left, line) {
			out = append(out, "+ "+line)
		}
	}
	return out
}

func contains(lines []string, line string) bool {
	for _, l := range lines {
		if l == line {
			return true
		}
	}
	return false
}

// qualifiedLines returns the lines of an INI text, each with its section's header in front.
func qualifiedLines(text string) []string {
	var out []string
	section := ""
	for _, line := range strings.Split(text, "\n") {
		switch {
		case strings.HasPrefix(line, "["):
			section = line
			out = append(out, line)
		case line != "":
			out = append(out, section+" "+line)
		}
	}
	return out
}
