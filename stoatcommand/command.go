package stoatcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// Version is the program's version.
const Version = "0.1"

// The exit codes.
const (
	exitOK      = 0
	exitFailure = 1 // refused or failed
	exitUsage   = 2 // wrong usage or settings
)

type args struct {
	Run      *runArgs      `arg:"subcommand:run" help:"run one entry instance"`
	Demo     *demoArgs     `arg:"subcommand:demo" help:"run the whole system on loopback addresses and inject faults"`
	Measure  *measureArgs  `arg:"subcommand:measure" help:"measure the flow engine in comparison with a naive one"`
	Soak     *soakArgs     `arg:"subcommand:soak" help:"run entries as processes, inject faults and check what callers see"`
	Contract *contractArgs `arg:"subcommand:contract" help:"write, read and remove contracts"`
	Instance *instanceArgs `arg:"subcommand:instance" help:"mark instances as joining or leaving"`
	Centre   *centreArgs   `arg:"subcommand:centre" help:"evacuate data centres and withdraw evacuations"`
	Status   *statusArgs   `arg:"subcommand:status" help:"show the state of every entry and the configuration in force there"`
	Report   *reportArgs   `arg:"subcommand:report" help:"show how much of the error budget is used"`
	Check    *checkArgs    `arg:"subcommand:check" help:"check settings and contracts, and print every fault"`
	Explain  *explainArgs  `arg:"subcommand:explain" help:"explain an event or problem by its number, such as SP1004"`
	Show     *versionArgs  `arg:"subcommand:version" help:"print the version"`
}

// Description implements go-arg's Described.
func (args) Description() string {
	return "stoatpaddle balances layer-4 traffic over upstreams, with one contract per customer.\n" +
		"Exit codes: 0 done, 1 refused or failed, 2 wrong usage or settings."
}

type versionArgs struct{}

// command is a subcommand with its parsed arguments.
type command interface {
	run(c *env) error
}

// env is the context and the output streams of a subcommand.
type env struct {
	ctx context.Context
	out io.Writer
	err io.Writer
}

// UsageError reports arguments that are wrong or do not go together.
type UsageError struct{ Problem string }

// Error describes the problem.
func (e *UsageError) Error() string { return e.Problem }

// SettingsError reports settings that an entry cannot start with. Its cause lists every fault.
type SettingsError struct{ Cause error }

// Error lists the faults, one a line.
func (e *SettingsError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *SettingsError) Unwrap() error { return e.Cause }

// Main runs the program and returns its exit code.
func Main(argv []string, stdout, stderr io.Writer) int {
	var a args
	p, err := arg.NewParser(arg.Config{Program: "stoatpaddle", Out: stderr}, &a)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	err = p.Parse(argv)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = p.WriteHelpForSubcommand(stdout, p.SubcommandNames()...)
		return exitOK
	case err != nil:
		_, _ = fmt.Fprintf(stderr, "stoatpaddle: %v\n", err)
		_ = p.WriteUsageForSubcommand(stderr, p.SubcommandNames()...)
		return exitUsage
	}
	cmd, ok := p.Subcommand().(command)
	if !ok {
		_ = p.WriteHelpForSubcommand(stderr, p.SubcommandNames()...)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return exitCode(cmd.run(&env{ctx: ctx, out: stdout, err: stderr}), stderr)
}

func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintf(stderr, "stoatpaddle: %v\n", err)
	var usage *UsageError
	var settings *SettingsError
	if errors.As(err, &usage) || errors.As(err, &settings) {
		return exitUsage
	}
	return exitFailure
}

func (*versionArgs) run(c *env) error {
	_, err := fmt.Fprintln(c.out, "stoatpaddle", Version)
	return err
}
