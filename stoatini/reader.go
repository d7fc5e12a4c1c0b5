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

// Reader reads the values of one file and collects its faults.
type Reader struct {
	file     string
	sections []*Section
	faults   []*stoatpaddle.Fault
}

// Section is one section of the file. A key becomes known when its value is requested; Err reports the others.
type Section struct {
	Kind      string // first word of the header
	Name      string // the rest of the header
	reader    *Reader
	sec       *ini.Section // nil if the file has no such section
	known     map[string]bool
	requested bool
}

// Parse returns a Reader of the file's content. Syntax errors and duplicate sections become faults.
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
			Kind: kind, Name: strings.TrimSpace(name), reader: r, sec: sec, known: map[string]bool{},
		})
	}
	return r
}

// AddFault adds a fault at a key of a section. An empty key stands for the section itself.
func (r *Reader) AddFault(section, key, got, want string) {
	r.faults = append(r.faults, &stoatpaddle.Fault{File: r.file, Section: section, Key: key, Got: got, Want: want})
}

// Section returns the section of that kind that has no name. If it is missing, the result is an empty section.
func (r *Reader) Section(kind string) *Section {
	for _, s := range r.sections {
		if s.Kind == kind && s.Name == "" {
			s.requested = true
			return s
		}
	}
	return &Section{Kind: kind, reader: r, known: map[string]bool{}, requested: true}
}

// Named returns the sections of that kind that have a name, in the order of the file.
func (r *Reader) Named(kind string) []*Section {
	var out []*Section
	for _, s := range r.sections {
		if s.Kind == kind && s.Name != "" {
			s.requested = true
			out = append(out, s)
		}
	}
	return out
}

// Err returns *stoatpaddle.FaultsError if there are faults. Sections and keys that were never requested count
// as faults.
func (r *Reader) Err() error {
	for _, s := range r.sections {
		if !s.requested {
			r.AddFault(s.header(), "", s.header(), "a known section")
			continue
		}
		for _, k := range s.sec.Keys() {
			if !s.known[k.Name()] {
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

// AddFault adds a fault at a key of the section. An empty key stands for the section itself.
func (s *Section) AddFault(key, got, want string) { s.reader.AddFault(s.header(), key, got, want) }

// Keys returns all keys of the section and makes them known. It is for sections whose keys are names that the
// operator chooses.
func (s *Section) Keys() []string {
	if s.sec == nil {
		return nil
	}
	for _, k := range s.sec.KeyStrings() {
		s.known[k] = true
	}
	return s.sec.KeyStrings()
}

// Has reports whether the section has the key.
func (s *Section) Has(key string) bool { return s.sec != nil && s.sec.HasKey(key) }

// value returns the key's value and whether the key exists.
func (s *Section) value(key string) (string, bool) {
	s.known[key] = true
	if s.sec == nil || !s.sec.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(s.sec.Key(key).Value()), true
}

// Word returns a name of letters, digits, dots, hyphens and underscores. An empty default makes the key
// required.
func (s *Section) Word(key, defaultValue string) string {
	v, ok := s.value(key)
	if !ok && defaultValue != "" {
		return defaultValue
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
	v, ok := s.value(key)
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

// Int returns a whole number from lowest to highest.
func (s *Section) Int(key string, defaultValue, lowest, highest int) int {
	v, ok := s.value(key)
	if !ok {
		return defaultValue
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < lowest || n > highest {
		s.AddFault(key, v, fmt.Sprintf("a whole number from %d to %d", lowest, highest))
		return defaultValue
	}
	return n
}

// Number returns a number from lowest to highest.
func (s *Section) Number(key string, defaultValue, lowest, highest float64) float64 {
	v, ok := s.value(key)
	if !ok {
		return defaultValue
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= lowest && n <= highest) {
		s.AddFault(key, v, fmt.Sprintf("a number from %g to %g", lowest, highest))
		return defaultValue
	}
	return n
}

// Duration returns a positive duration such as 30s.
func (s *Section) Duration(key string, defaultValue time.Duration) time.Duration {
	v, ok := s.value(key)
	if !ok {
		return defaultValue
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		s.AddFault(key, v, "a positive duration such as 30s")
		return defaultValue
	}
	return d
}

// Addr returns an IP address. The key is required.
func (s *Section) Addr(key string) netip.Addr {
	v, _ := s.value(key)
	a, err := netip.ParseAddr(v)
	if err != nil {
		s.AddFault(key, v, "an IP address")
	}
	return a
}

// AddrPort returns an IP address and port. An empty default makes the key required.
func (s *Section) AddrPort(key, defaultValue string) netip.AddrPort {
	v, ok := s.value(key)
	if !ok {
		v = defaultValue
	}
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 {
		s.AddFault(key, v, "an IP address and port such as 127.0.0.1:7000")
	}
	return a
}

// Ports returns a comma-separated list of ports. The key is required.
func (s *Section) Ports(key string) []uint16 {
	v, _ := s.value(key)
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

// Words returns a comma-separated list of names. The default is none.
func (s *Section) Words(key string) []string {
	v, ok := s.value(key)
	if !ok {
		return nil
	}
	var out []string
	for _, part := range strings.Split(v, ",") {
		name := strings.TrimSpace(part)
		if !isWord(name) {
			s.AddFault(key, v, "names of letters, digits, '.', '-' and '_', separated by commas")
			return nil
		}
		out = append(out, name)
	}
	return out
}

// AddrPorts returns a comma-separated list of IP addresses and ports. The default is none.
func (s *Section) AddrPorts(key string) []netip.AddrPort {
	v, ok := s.value(key)
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
