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
	File     string // path of the settings file
	Text     []byte // contents of File from which Settings was parsed
	Settings stoatsetting.Settings
	Log      io.Writer
}

// Run serves until ctx ends and the planned stop that follows is complete. Meanwhile it reads the settings file
// again at each hangup signal and at regular intervals, and applies the settings if the file has changed.
func Run(ctx context.Context, cfg Config) error {
	// A hangup signal that nothing handles ends the process.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	entry, err := stoatedge.Start(context.WithoutCancel(ctx), stoatedge.Config{Settings: cfg.Settings, Log: cfg.Log})
	if err != nil {
		return err
	}
	var g errgroup.Group
	watcher := &settingsWatcher{file: cfg.File, text: cfg.Text, reload: entry.Reload}
	watchCtx, stopWatching := context.WithCancel(context.Background())
	g.Go(func() error {
		watcher.run(watchCtx, hangup)
		return nil
	})
	cancelStop := context.AfterFunc(ctx, entry.Stop)
	defer cancelStop()
	entry.Wait()
	stopWatching()
	return g.Wait()
}
