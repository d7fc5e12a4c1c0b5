package stoatprocess

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"golang.org/x/sync/errgroup"

	"github.com/stoatpaddle/stoatpaddle/stoatedge"
	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
)

// Config configures Run.
type Config struct {
	File     string // settings
	Text     []byte // of File, as Settings was read from it
	Settings stoatsetting.Settings
	Log      io.Writer
}

// Run serves until ctx ends and the planned stop that follows is complete. A hangup signal, or
// a change of the file without one, has the settings read again.
func Run(ctx context.Context, cfg Config) error {
	e, err := stoatedge.Start(context.WithoutCancel(ctx), stoatedge.Config{Settings: cfg.Settings, Log: cfg.Log})
	if err != nil {
		return err
	}
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	var g errgroup.Group
	watch := &settingsWatch{file: cfg.File, text: cfg.Text, reload: e.Reload}
	watching, done := context.WithCancel(context.Background())
	g.Go(func() error {
		watch.run(watching, hangup)
		return nil
	})
	stopped := context.AfterFunc(ctx, e.Stop)
	defer stopped()
	e.Wait()
	done()
	return g.Wait()
}
