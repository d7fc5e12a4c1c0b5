package stoatcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatadmin"
	"github.com/stoatpaddle/stoatpaddle/stoatcontract"
	"github.com/stoatpaddle/stoatpaddle/stoatstatus"
)

// entryArgs are the arguments of subcommands that call an entry's administration API.
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
	Apply *contractApplyArgs `arg:"subcommand:apply" help:"create a contract, or amend the version that its file names"`
	Get   *contractGetArgs   `arg:"subcommand:get" help:"print a contract in the format that apply reads"`
	List  *contractListArgs  `arg:"subcommand:list" help:"list the contracts in force"`
	Rm    *contractRmArgs    `arg:"subcommand:rm" help:"remove a contract"`
}

type contractApplyArgs struct {
	entryArgs
	File    string `arg:"positional,required" help:"file with the contract; - for standard input"`
	Version uint64 `help:"version to amend, if the file names none"`
	Token   string `help:"token of an earlier attempt whose outcome was unknown"`
}

func (a *contractApplyArgs) run(c *env) error {
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
	return a.printOutcome(c, answer, err)
}

// printOutcome prints the outcome of a change.
func (a entryArgs) printOutcome(c *env, answer stoatadmin.Response, err error) error {
	if a.JSON {
		if printErr := printJSON(c.out, answer); printErr != nil {
			return printErr
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

type contractGetArgs struct {
	entryArgs
	Customer string `arg:"positional,required"`
}

func (a *contractGetArgs) run(c *env) error {
	text, err := a.client().Contract(c.ctx, stoatpaddle.CustomerID(a.Customer))
	if err != nil {
		return err
	}
	_, err = io.WriteString(c.out, text)
	return err
}

type contractListArgs struct{ entryArgs }

func (a *contractListArgs) run(c *env) error {
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

type contractRmArgs struct {
	entryArgs
	Customer string `arg:"positional,required"`
	Version  uint64 `arg:"--version,required" help:"version to remove"`
	Token    string `help:"token of an earlier attempt whose outcome was unknown"`
}

func (a *contractRmArgs) run(c *env) error {
	change := stoatadmin.ChangeOptions{Base: stoatpaddle.Version(a.Version), Token: a.Token}
	answer, err := a.client().Remove(c.ctx, stoatpaddle.CustomerID(a.Customer), change)
	return a.printOutcome(c, answer, err)
}

type instanceArgs struct {
	Join  *instanceJoinArgs  `arg:"subcommand:join" help:"mark an instance as joining"`
	Leave *instanceLeaveArgs `arg:"subcommand:leave" help:"mark an instance as leaving"`
	List  *instanceListArgs  `arg:"subcommand:list" help:"list the instances that an entry knows"`
}

type instanceStateArgs struct {
	entryArgs
	Instance string `arg:"positional,required" help:"name of an entry or an upstream"`
}

func (a *instanceStateArgs) setState(c *env, state stoatpaddle.InstanceState) error {
	answer, err := a.client().SetInstanceState(c.ctx, stoatpaddle.InstanceID(a.Instance), state)
	return a.printOutcome(c, answer, err)
}

type instanceJoinArgs struct{ instanceStateArgs }

func (a *instanceJoinArgs) run(c *env) error { return a.setState(c, stoatpaddle.StateJoining) }

type instanceLeaveArgs struct{ instanceStateArgs }

func (a *instanceLeaveArgs) run(c *env) error { return a.setState(c, stoatpaddle.StateLeaving) }

type instanceListArgs struct{ entryArgs }

func (a *instanceListArgs) run(c *env) error {
	list, err := a.client().Instances(c.ctx)
	if err != nil {
		return err
	}
	if a.JSON {
		return printJSON(c.out, list)
	}
	for _, instance := range list {
		_, _ = fmt.Fprintf(c.out, "%-20s %-9s %-12s %-8s %s\n", instance.Name, instance.Role, instance.Centre, instance.State, reachability(instance))
	}
	return nil
}

func reachability(i stoatstatus.Instance) string {
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

// clusterStatus is the status of every entry that answered.
type clusterStatus struct {
	Entries []stoatstatus.Status `json:"entries"`
	Silent  []string             `json:"silent"` // entries that did not answer
}

// run gets the list of all entries from one entry, then the status of each with one call per entry.
func (a *statusArgs) run(c *env) error {
	var cs clusterStatus
	first, err := a.client().Status(c.ctx)
	if err != nil {
		return err
	}
	cs.Silent = queryEntries(first, func(client *stoatadmin.Client) error {
		st, err := client.Status(c.ctx)
		if err == nil {
			cs.Entries = append(cs.Entries, st)
		}
		return err
	})
	if a.JSON {
		return printJSON(c.out, cs)
	}
	cs.print(c.out)
	return nil
}

// queryEntries calls query for every entry in the status and returns the names of those that did not answer.
func queryEntries(st stoatstatus.Status, query func(client *stoatadmin.Client) error) []string {
	var silent []string
	for _, instance := range st.Instances {
		if instance.Admin != "" && query(stoatadmin.NewClient(instance.Admin)) != nil {
			silent = append(silent, instance.Name)
		}
	}
	return silent
}

func (cs *clusterStatus) print(w io.Writer) {
	for _, st := range cs.Entries {
		_, _ = fmt.Fprintf(w, "%-16s ready=%t leaving=%t platform=%t watching=%t", st.Instance, st.Ready, st.Leaving, st.PlatformAvailable, st.WatchesPlatform)
		for _, s := range st.Contracts {
			_, _ = fmt.Fprintf(w, " %s@%d", s.Customer, s.Version)
		}
		if v := st.View; v != nil {
			_, _ = fmt.Fprintf(w, " version=%d proven=%dms routes=%d serving=%d leaving=%d missing=%d gone=%d",
				v.Version, v.AgeMS, v.Routes, v.Serving, v.Leaving, v.Missing, v.Gone)
		}
		_, _ = fmt.Fprintln(w)
		printLevels(w, st.Levels)
	}
	for _, name := range cs.Silent {
		_, _ = fmt.Fprintf(w, "%-16s does not answer\n", name)
	}
}

// printLevels prints one line for each priority level.
func printLevels(w io.Writer, levels []stoatstatus.Level) {
	for i := range levels {
		v := &levels[i]
		_, _ = fmt.Fprintf(w, "  %s in %s, priority %d: arrived=%.1f/s admitted=%.1f/s share=%.2f turned=%.2f shared=%t", v.Service, v.Centre, v.Priority, v.Arrived, v.Admitted, v.Share, v.RejectedShare, v.Shared)
		if v.LimitedMS > 0 {
			_, _ = fmt.Fprintf(w, " limited=%dms", v.LimitedMS)
		}
		for _, reason := range slices.Sorted(maps.Keys(v.Refused)) {
			_, _ = fmt.Fprintf(w, " %s=%d", reason, v.Refused[reason])
		}
		_, _ = fmt.Fprintln(w)
	}
}
