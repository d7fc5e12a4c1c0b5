package stoatprocess_test

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stoatpaddle/stoatpaddle/stoatprocess"
)

const entryProgram = "github.com/stoatpaddle/stoatpaddle/cmd/stoatpaddle-entry"

// All entries lose power and start again on machines with a tenth of a core. Linked packages build their tables
// before main, whether or not the program uses them. With the libraries below, an entry forwarded its first
// packet a quarter of a second later, when callers with a timeout of 0.8 s had given up.
func TestEntryDependencies(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", entryProgram).Output()
	if err != nil {
		t.Fatal(err)
	}
	deps := strings.Fields(string(out))
	for _, banned := range []string{
		"protoactor-go", "google.golang.org/protobuf", "opentelemetry.io", "prometheus/", "gopacket", "gonum.org",
		"stoatactor", "stoatadmin", "stoatcommand", "stoatdemo", "stoatentry", "stoatfake", "stoatflow", "stoatmeasure", "stoatnode", "stoatsoak", "stoattunnel",
	} {
		for _, dep := range deps {
			if strings.Contains(dep, banned) {
				t.Errorf("the entry program links %s", dep)
			}
		}
	}
	if !strings.Contains(string(out), "stoatedge") {
		t.Error("the dependencies lack stoatedge, so they are not those of the entry program")
	}
}

// maxInitBytes is the limit for what the packages of the entry program allocate before main, in bytes. They
// allocate about 118 kB, and would allocate 568 kB with the actor library and gopacket's layers.
const maxInitBytes = 180_000

// A library that is not on the list above can bring large tables too, and delay the first packet in the same
// way after a power loss.
func TestEntryInitAllocations(t *testing.T) {
	program := filepath.Join(t.TempDir(), "entry")
	if text, err := exec.Command("go", "build", "-o", program, entryProgram).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	cmd := exec.Command(program, "--help")
	cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	var trace bytes.Buffer
	cmd.Stderr = &trace
	if err := cmd.Run(); err != nil {
		t.Fatal(err)
	}
	lines := regexp.MustCompile(`init (\S+) @.*, (\d+) bytes, (\d+) allocs`).FindAllStringSubmatch(trace.String(), -1)
	sum := 0
	for _, line := range lines {
		n, err := strconv.Atoi(line[2])
		if err != nil {
			t.Fatal(err)
		}
		sum += n
	}
	if len(lines) == 0 || sum > maxInitBytes {
		t.Errorf("%d bytes allocated before main by %d packages, limit %d\n%s", sum, len(lines), maxInitBytes, trace.String())
	}
}

// Each way in which the program can end before it serves must have its exit code and print its cause.
func TestExitCodes(t *testing.T) {
	write := func(text string) string {
		file := filepath.Join(t.TempDir(), "entry.ini")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	for _, c := range []struct {
		name string
		args []string
		code int
		want string
	}{
		{"help", []string{"--help"}, 0, "echo fabric"},
		{"no settings", nil, 2, "--config"},
		{"no such file", []string{"-c", "testdata/none.ini"}, 1, "none.ini"},
		{"a fault", []string{"-c", write("[instance]\nid = a b\n")}, 2, "[instance] id"},
		{"another fabric", []string{"-c", write("[instance]\nid = a\ncentre = b\n")}, 2, "stoatpaddle run"},
		{"an address that is not this machine's", []string{"-c", write("[instance]\nid = a\ncentre = b\n[fabric]\nkind = echo\n[listen]\ntunnel = 192.0.2.1:9\n")}, 1, "192.0.2.1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out, errs bytes.Buffer
			if code := stoatprocess.Main(c.args, &out, &errs); code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			if text := out.String() + errs.String(); !strings.Contains(text, c.want) {
				t.Errorf("%q is not in %q", c.want, text)
			}
		})
	}
}
