package stoatprocess

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
)

// settingsWatch notices changes of the settings file, with or without a signal.
type settingsWatch struct {
	file   string
	text   []byte
	reload func(set stoatsetting.Settings, err error)
}

// settingsEvery is how often the file is read again: what it holds changes rarely, and a
// signal tells of most changes.
const settingsEvery = 5 * time.Second

func (w *settingsWatch) run(ctx context.Context, hangup <-chan os.Signal) {
	t := time.NewTicker(settingsEvery)
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

// check reads the file and hands it over if its text changed.
func (w *settingsWatch) check() {
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
