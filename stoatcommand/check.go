package stoatcommand

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatcontract"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
)

type checkArgs struct {
	Files []string `arg:"positional,required" help:"settings and contracts; contracts are checked against each other too"`
}

// run checks each file by what it holds: a file with a [contract] section is a contract.
func (a *checkArgs) run(c *env) error {
	var faults []*stoatpaddle.Fault
	drafts := map[string]stoatpaddle.Contract{}
	var all []stoatpaddle.Contract
	for _, name := range a.Files {
		data, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		if !bytes.Contains(data, []byte("[contract]")) {
			_, err = stoatsetting.Parse(name, data)
			faults = append(faults, stoatpaddle.FaultsOf(err)...)
			continue
		}
		draft, err := stoatcontract.Parse(name, data)
		faults = append(faults, stoatpaddle.FaultsOf(err)...)
		if err == nil {
			drafts[name] = draft.Contract
			all = append(all, draft.Contract)
		}
	}
	for _, name := range a.Files {
		if d, ok := drafts[name]; ok {
			faults = append(faults, stoatcontract.Conflicts(name, d, all)...)
		}
	}
	if len(faults) > 0 {
		return &stoatpaddle.FaultsError{Faults: faults}
	}
	_, err := fmt.Fprintf(c.out, "%d files, no faults\n", len(a.Files))
	return err
}

type explainArgs struct {
	Number   string `arg:"positional" help:"such as SP1004"`
	Markdown bool   `help:"print the whole catalogue as docs/EVENTS.md"`
}

func (a *explainArgs) run(c *env) error {
	if a.Markdown {
		_, err := io.WriteString(c.out, stoatevent.Markdown())
		return err
	}
	if a.Number == "" {
		for _, e := range stoatevent.All() {
			_, _ = fmt.Fprintf(c.out, "%s  %s\n", e.Number, e.Title)
		}
		return nil
	}
	e, err := stoatevent.Lookup(a.Number)
	if err != nil {
		return err
	}
	_, err = io.WriteString(c.out, e.Explain())
	return err
}
