package stoatprocess

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
)

// The exit codes are the same as those of the stoatpaddle program.
const (
	exitOK    = 0
	exitFail  = 1 // the entry could not serve
	exitUsage = 2 // wrong usage or settings
)

type args struct {
	Config string `arg:"-c,--config,required" placeholder:"FILE.ini" help:"settings; stoatpaddle check FILE.ini explains its faults"`
}

// Description implements go-arg's Described.
func (args) Description() string {
	return "stoatpaddle-entry runs one entry instance on an echo fabric. It contains only the code that such an entry needs.\n" +
		"Exit codes: 0 stopped as planned, 1 could not serve, 2 wrong usage or settings."
}

// Main runs the program with the arguments in argv and returns its exit code.
func Main(argv []string, stdout, stderr io.Writer) int {
	// The settings are read later, so that a hangup signal changes nothing yet.
	signal.Ignore(syscall.SIGHUP)
	var parsed args
	p, err := arg.NewParser(arg.Config{Program: "stoatpaddle-entry", Out: stderr}, &parsed)
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	switch err := p.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(stdout)
		return exitOK
	case err != nil:
		p.WriteUsage(stderr)
		return fail(stderr, exitUsage, err)
	}
	data, err := os.ReadFile(parsed.Config)
	if err != nil {
		return fail(stderr, exitFail, err)
	}
	settings, err := stoatsetting.Parse(parsed.Config, data)
	if err == nil && settings.Fabric != stoatsetting.FabricEcho {
		err = &FabricError{Fabric: settings.Fabric}
	}
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := Run(ctx, Config{File: parsed.Config, Text: data, Settings: settings, Log: stdout}); err != nil {
		return fail(stderr, exitFail, err)
	}
	return exitOK
}

func fail(stderr io.Writer, code int, err error) int {
	// A write error is ignored: there is nowhere left to report it.
	_, _ = fmt.Fprintf(stderr, "stoatpaddle-entry: %v\n", err)
	return code
}

// FabricError reports that the settings are for a kind of fabric that this program can't serve.
type FabricError struct{ Fabric stoatsetting.FabricKind }

// Error returns a message that names the kind of fabric and the command that serves it.
func (e *FabricError) Error() string {
	return fmt.Sprintf("[fabric] kind is %q; this program serves %q only: use stoatpaddle run", e.Fabric, stoatsetting.FabricEcho)
}
