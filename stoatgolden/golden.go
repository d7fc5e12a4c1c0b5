package stoatgolden

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// updateEnv is the environment variable with which Run rewrites the expected results instead of comparing them.
const updateEnv = "STOATPADDLE_UPDATE"

const (
	eventPrefix  = "@"
	resultPrefix = "  > "
)

// Run replays every session in testdata and compares the results.
func Run(t *testing.T, replay func(t *testing.T, text string) string) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no golden sessions in testdata", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			want, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got := replay(t, string(want))
			if os.Getenv(updateEnv) != "" {
				if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
				return
			}
			if d := cmp.Diff(string(want), got); d != "" {
				t.Error(d)
			}
		})
	}
}

// ForEachEvent calls event for each line "@TIME words" of a session. It passes every line to write first, except
// the results of an earlier run, which event writes anew.
func ForEachEvent(t *testing.T, text string, write func(line string), event func(at time.Duration, words []string)) {
	for _, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		if strings.HasPrefix(line, resultPrefix) {
			continue
		}
		write(line)
		if !strings.HasPrefix(line, eventPrefix) {
			continue
		}
		at, words, _ := strings.Cut(line[len(eventPrefix):], " ")
		now, err := time.ParseDuration(at)
		if err != nil {
			t.Fatal(line, err)
		}
		event(now, strings.Fields(words))
	}
}
