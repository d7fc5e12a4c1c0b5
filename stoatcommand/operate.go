package stoatcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatadmin"
	"github.com/stoatpaddle/stoatpaddle/stoatcontract"
	"github.com/stoatpaddle/stoatpaddle/stoatstatus"
)

// entryArgs names the entry whose administration API is asked.
type entryArgs struct {
	Entry string `arg:"-e,--entry,env:STOATPADDLE_ENTRY" default:"127.0.0.1:6083" help:"administration address of any entry"`
	JSON  bool   `arg:"--json" help:"print JSON"`
}

func (a entryArgs) client() *stoatadmin.Client { return stoatadmin.NewClient(a.Entry) }

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

type contractArgs struct {
	Apply *applyArgs     `arg:"subcommand:apply" help:"create a contract, or amend the version that the file names"`
	Get   *getArgs       `arg:"subcommand:get" help:"print a contract as apply takes it"`
	List  *listContracts `arg:"subcommand:list" help:"list the contracts in force"`
	Rm    *rmArgs        `arg:"subcommand:rm" help:"remove a contract"`
}

type applyArgs struct {
	entryArgs
	File    string `arg:"positional,required" help:"the contract; - for standard input"`
	Version uint64 `help:"the version to amend, if the file names none"`
	Token   string `help:"of an earlier try whose outcome was unknown"`
}

func (a *applyArgs) run(c *env) error {
	data, err := readFile(a.File)
	if err != nil {
		return err
	}
	draft, err := stoatcontract.Parse(a.File, data)
	if err != nil {
		return err
	}
	base := draft.BaseVersion
	if a.Version > 0 {
		base = stoatpaddle.Version(a.Version)
	}
	answer, err := a.client().Apply(c.ctx, draft.Contract.Customer, data, stoatadmin.ChangeOptions{Base: base, Token: a.Token})
	return a.report(c, answer, err)
}

// report prints how a change ended.
func (a entryArgs) report(c *env, answer stoatadmin.Response, err error) error {
	if a.JSON {
		if perr := printJSON(c.out, answer); perr != nil {
			return perr
		}
		return err
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "accepted: version %d\n", answer.Version)
	return err
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

type getArgs struct {
	entryArgs
	Customer string `arg:"positional,required"`
}

func (a *getArgs) run(c *env) error {
	text, err := a.client().Contract(c.ctx, stoatpaddle.CustomerID(a.Customer))
	if err != nil {
		return err
	}
	_, err = io.WriteString(c.out, text)
	return err
}

type listContracts struct{ entryArgs }

func (a *listContracts) run(c *env) error {
	list, err := a.client().Contracts(c.ctx)
	if err != nil {
		return err
	}
	if a.JSON {
		return printJSON(c.out, list)
	}
	for _, s := range list {
		_, _ = fmt.Fprintf(c.out, "%-24s version %d\n", s.Customer, s.Version)
	}
	return nil
}

type rmArgs struct {
	entryArgs
	Customer string `arg:"positional,required"`
	Version  uint64 `arg:"--version,required" help:"the version to remove"`
	Token    string `help:"of an earlier try whose outcome was unknown"`
}

func (a *rmArgs) run(c *env) error {
	change := stoatadmin.ChangeOptions{Base: stoatpaddle.Version(a.Version), Token: a.Token}
	answer, err := a.client().Remove(c.ctx, stoatpaddle.CustomerID(a.Customer), change)
	return a.report(c, answer, err)
}

type instanceArgs struct {
	Join  *joinArgs      `arg:"subcommand:join" help:"mark an instance as joining"`
	Leave *leaveArgs     `arg:"subcommand:leave" help:"mark an instance as leaving"`
	List  *listInstances `arg:"subcommand:list" help:"list the instances as an entry sees them"`
}

type markArgs struct {
	entryArgs
	Instance string `arg:"positional,required" help:"an entry or an upstream"`
}

func (a *markArgs) mark(c *env, state stoatpaddle.InstanceState) error {
	answer, err := a.client().SetInstanceState(c.ctx, stoatpaddle.InstanceID(a.Instance), state)
	return a.report(c, answer, err)
}

type joinArgs struct{ markArgs }

func (a *joinArgs) run(c *env) error { return a.mark(c, stoatpaddle.StateJoining) }

type leaveArgs struct{ markArgs }

func (a *leaveArgs) run(c *env) error { return a.mark(c, stoatpaddle.StateLeaving) }

type listInstances struct{ entryArgs }

func (a *listInstances) run(c *env) error {
	list, err := a.client().Instances(c.ctx)
	if err != nil {
		return err
	}
	if a.JSON {
		return printJSON(c.out, list)
	}
	for _, i := range list {
		_, _ = fmt.Fprintf(c.out, "%-20s %-9s %-12s %-8s %s\n", i.Name, i.Role, i.Centre, i.State, health(i))
	}
	return nil
}

func health(i stoatstatus.Instance) string {
	switch {
	case i.Dead:
		return "does not answer"
	case i.Connected:
		return "connected"
	default:
		return ""
	}
}

type statusArgs struct{ entryArgs }

// fleet is what every reachable entry says is in force.
type fleet struct {
	Entries []stoatstatus.Status `json:"entries"`
	Silent  []string             `json:"silent"` // entries that did not answer
}

// run asks one entry for the list of all, then each for its own status: one call an
// entry, however many there are.
func (a *statusArgs) run(c *env) error {
	var f fleet
	first, err := a.client().Status(c.ctx)
	if err != nil {
		return err
	}
	f.Silent = eachEntry(first, func(client *stoatadmin.Client) error {
		st, err := client.Status(c.ctx)
		if err == nil {
			f.Entries = append(f.Entries, st)
		}
		return err
	})
	if a.JSON {
		return printJSON(c.out, f)
	}
	f.print(c.out)
	return nil
}

// eachEntry asks every entry that the status names and returns those that did not answer.
func eachEntry(st stoatstatus.Status, ask func(client *stoatadmin.Client) error) []string {
	var silent []string
	for _, i := range st.Instances {
		if i.Admin != "" && ask(stoatadmin.NewClient(i.Admin)) != nil {
			silent = append(silent, i.Name)
		}
	}
	return silent
}

func (f *fleet) print(w io.Writer) {
	for _, st := range f.Entries {
		_, _ = fmt.Fprintf(w, "%-16s ready=%t leaving=%t platform=%t watching=%t", st.Instance, st.Ready, st.Leaving, st.PlatformAvailable, st.WatchesPlatform)
		for _, s := range st.Contracts {
			_, _ = fmt.Fprintf(w, " %s@%d", s.Customer, s.Version)
		}
		if v := st.View; v != nil {
			_, _ = fmt.Fprintf(w, " version=%d proven=%dms routes=%d serving=%d leaving=%d missing=%d gone=%d",
				v.Version, v.AgeMS, v.Routes, v.Serving, v.Leaving, v.Missing, v.Gone)
		}
		_, _ = fmt.Fprintln(w)
	}
	for _, name := range f.Silent {
		_, _ = fmt.Fprintf(w, "%-16s does not answer\n", name)
	}
}
