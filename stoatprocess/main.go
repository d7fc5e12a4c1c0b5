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

// The exit codes, those of the whole program.
const (
	exitOK    = 0
	exitFail  = 1 // it could not serve
	exitUsage = 2 // wrong usage or settings
)

type args struct {
	Config string `arg:"-c,--config,required" placeholder:"FILE.ini" help:"settings; stoatpaddle check FILE.ini explains its faults"`
}

// Description implements go-arg's Described.
func (args) Description() string {
	return "stoatpaddle-entry runs one entry instance on an echo fabric, and holds nothing that an entry does not need.\n" +
		"Exit codes: 0 stopped as planned, 1 could not serve, 2 wrong usage or settings."
}

// Main runs the program and returns its exit code.
func Main(argv []string, stdout, stderr io.Writer) int {
	var a args
	p, err := arg.NewParser(arg.Config{Program: "stoatpaddle-entry", Out: stderr}, &a)
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
	data, err := os.ReadFile(a.Config)
	if err != nil {
		return fail(stderr, exitFail, err)
	}
	set, err := stoatsetting.Parse(a.Config, data)
	if err == nil && set.Fabric != stoatsetting.FabricEcho {
		err = &FabricError{Fabric: set.Fabric}
	}
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := Run(ctx, Config{File: a.Config, Text: data, Settings: set, Log: stdout}); err != nil {
		return fail(stderr, exitFail, err)
	}
	return exitOK
}

func fail(stderr io.Writer, code int, err error) int {
	// Whoever closed standard error does not want to know.
	_, _ = fmt.Fprintf(stderr, "stoatpaddle-entry: %v\n", err)
	return code
}

// FabricError reports settings for another fabric than the one that this program serves.
type FabricError struct{ Fabric stoatsetting.FabricKind }

// Error names the fabric and the program that serves it.
func (e *FabricError) Error() string {
	return fmt.Sprintf("[fabric] kind is %q; this program serves %q only: use stoatpaddle run", e.Fabric, stoatsetting.FabricEcho)
}
