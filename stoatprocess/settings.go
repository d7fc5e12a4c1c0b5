package stoatprocess

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
)

// settingsWatcher applies changes of the settings file, whether or not a signal announces them.
type settingsWatcher struct {
	file   string
	text   []byte // contents of the file when it was read last
	reload func(set stoatsetting.Settings, err error)
}

// pollInterval is the time between two reads of the file. It can be long, because the settings change rarely
// and a signal announces most changes.
const pollInterval = 5 * time.Second

func (w *settingsWatcher) run(ctx context.Context, hangup <-chan os.Signal) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-t.C:
		}
		w.check()
	}
}

// check reads the file and passes its settings to reload if the contents changed. An error of the read is
// passed to reload each time.
func (w *settingsWatcher) check() {
	text, err := os.ReadFile(w.file)
	if err != nil {
		w.reload(stoatsetting.Settings{}, err)
		return
	}
	if bytes.Equal(text, w.text) {
		return
	}
	w.text = text
	w.reload(stoatsetting.Parse(w.file, text))
}
