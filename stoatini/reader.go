package stoatini

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/stoatpaddle/stoatpaddle"
)

// Reader reads one file and gathers its faults.
type Reader struct {
	file     string
	sections []*Section
	faults   []*stoatpaddle.Fault
}

// Section is one section of the file; its keys count as known once they were read.
type Section struct {
	Kind string // first word of the header
	Name string // the rest of the header
	r    *Reader
	sec  *ini.Section
	read map[string]bool
	used bool
}

// Parse reads the file's content.
func Parse(file string, data []byte) *Reader {
	r := &Reader{file: file}
	f, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: true}, data)
	if err != nil {
		r.AddFault("", "", err.Error(), "an INI file: [section] and key = value lines")
		return r
	}
	seen := map[string]bool{}
	for _, sec := range f.Sections() {
		if sec.Name() == ini.DefaultSection && len(sec.Keys()) == 0 {
			continue
		}
		kind, name, _ := strings.Cut(sec.Name(), " ")
		if seen[sec.Name()] {
			r.AddFault(sec.Name(), "", sec.Name(), "each section once")
			continue
		}
		seen[sec.Name()] = true
		r.sections = append(r.sections, &Section{
			Kind: kind, Name: strings.TrimSpace(name), r: r, sec: sec, read: map[string]bool{},
		})
	}
	return r
}

// AddFault adds a fault.
func (r *Reader) AddFault(section, key, got, want string) {
	r.faults = append(r.faults, &stoatpaddle.Fault{File: r.file, Section: section, Key: key, Got: got, Want: want})
}

// Section returns the only section of that kind; a missing one reads as empty.
func (r *Reader) Section(kind string) *Section {
	for _, s := range r.sections {
		if s.Kind == kind && s.Name == "" {
			s.used = true
			return s
		}
	}
	return &Section{Kind: kind, r: r, read: map[string]bool{}, used: true}
}

// Named returns the sections of that kind which bear a name, in the file's order.
func (r *Reader) Named(kind string) []*Section {
	var out []*Section
	for _, s := range r.sections {
		if s.Kind == kind && s.Name != "" {
			s.used = true
			out = append(out, s)
		}
	}
	return out
}

// Err returns *stoatpaddle.FaultsError if there was a fault, counting what was never read.
func (r *Reader) Err() error {
	for _, s := range r.sections {
		if !s.used {
			r.AddFault(s.header(), "", s.header(), "a known section")
			continue
		}
		for _, k := range s.sec.Keys() {
			if !s.read[k.Name()] {
				r.AddFault(s.header(), k.Name(), k.Value(), "a known key")
			}
		}
	}
	if len(r.faults) == 0 {
		return nil
	}
	return &stoatpaddle.FaultsError{Faults: r.faults}
}

func (s *Section) header() string { return strings.TrimSpace(s.Kind + " " + s.Name) }

// AddFault adds a fault at a key of the section.
func (s *Section) AddFault(key, got, want string) { s.r.AddFault(s.header(), key, got, want) }

// Keys returns the keys of a section whose keys are names, and counts them as known.
func (s *Section) Keys() []string {
	if s.sec == nil {
		return nil
	}
	for _, k := range s.sec.KeyStrings() {
		s.read[k] = true
	}
	return s.sec.KeyStrings()
}

// raw returns the value and whether the key is there.
func (s *Section) raw(key string) (string, bool) {
	s.read[key] = true
	if s.sec == nil || !s.sec.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(s.sec.Key(key).Value()), true
}

// Word returns a name: letters, digits, dots, hyphens and underscores.
func (s *Section) Word(key, standard string) string {
	v, ok := s.raw(key)
	if !ok && standard != "" {
		return standard
	}
	if !isWord(v) {
		s.AddFault(key, v, "a name of letters, digits, '.', '-' and '_'")
	}
	return v
}

func isWord(v string) bool {
	if v == "" {
		return false
	}
	for _, c := range v {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && c != '.' && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// Choice returns one of the options; the first is the default.
func (s *Section) Choice(key string, options ...string) string {
	v, ok := s.raw(key)
	if !ok {
		return options[0]
	}
	for _, o := range options {
		if v == o {
			return v
		}
	}
	s.AddFault(key, v, "one of "+strings.Join(options, ", "))
	return options[0]
}

// Int returns a whole number from least to most.
func (s *Section) Int(key string, standard, least, most int) int {
	v, ok := s.raw(key)
	if !ok {
		return standard
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < least || n > most {
		s.AddFault(key, v, fmt.Sprintf("a whole number from %d to %d", least, most))
		return standard
	}
	return n
}

// Number returns a number from least to most.
func (s *Section) Number(key string, standard, least, most float64) float64 {
	v, ok := s.raw(key)
	if !ok {
		return standard
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= least && n <= most) {
		s.AddFault(key, v, fmt.Sprintf("a number from %g to %g", least, most))
		return standard
	}
	return n
}

// Duration returns a positive duration such as 30s.
func (s *Section) Duration(key string, standard time.Duration) time.Duration {
	v, ok := s.raw(key)
	if !ok {
		return standard
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		s.AddFault(key, v, "a positive duration such as 30s")
		return standard
	}
	return d
}

// Addr returns an IP address.
func (s *Section) Addr(key string) netip.Addr {
	v, _ := s.raw(key)
	a, err := netip.ParseAddr(v)
	if err != nil {
		s.AddFault(key, v, "an IP address")
	}
	return a
}

// AddrPort returns an address and port; an empty default makes the key required.
func (s *Section) AddrPort(key, standard string) netip.AddrPort {
	v, ok := s.raw(key)
	if !ok {
		v = standard
	}
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 {
		s.AddFault(key, v, "an IP address and port such as 127.0.0.1:7000")
	}
	return a
}

// Ports returns ports, separated by commas.
func (s *Section) Ports(key string) []uint16 {
	v, _ := s.raw(key)
	var out []uint16
	for _, part := range strings.Split(v, ",") {
		n, err := strconv.ParseUint(strings.TrimSpace(part), 10, 16)
		if err != nil || n == 0 {
			s.AddFault(key, v, "ports from 1 to 65535, separated by commas")
			return nil
		}
		out = append(out, uint16(n))
	}
	return out
}

// AddrPorts returns addresses and ports, separated by commas; none by default.
func (s *Section) AddrPorts(key string) []netip.AddrPort {
	v, ok := s.raw(key)
	if !ok {
		return nil
	}
	var out []netip.AddrPort
	for _, part := range strings.Split(v, ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil || a.Port() == 0 {
			s.AddFault(key, v, "IP addresses and ports, separated by commas")
			return nil
		}
		out = append(out, a)
	}
	return out
}
