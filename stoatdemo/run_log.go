package stoatdemo

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// logPattern names the file of a run's log in the directory for temporary files.
const logPattern = "stoatpaddle-demo-*.log"

// runLog is the log of one run: the entries' lines, the begin of each phase and each broken flow. Its file is
// kept only if the run fails.
type runLog struct {
	io.Writer // the file, and the log that the configuration names
	file      *os.File
}

// wireLogLine is a line that the demo itself adds to the log.
type wireLogLine struct {
	Time  time.Time  `json:"time"`
	Phase string     `json:"phase,omitempty"`
	Flow  string     `json:"flow,omitempty"` // the addresses of a broken flow
	Sent  *time.Time `json:"sent,omitempty"` // when the flow first sent its last segment
}

func openRunLog(also io.Writer) (*runLog, error) {
	file, err := os.CreateTemp("", logPattern)
	if err != nil {
		return nil, err
	}
	l := &runLog{file: file, Writer: file}
	if also != nil {
		l.Writer = io.MultiWriter(file, also)
	}
	return l, nil
}

func (l *runLog) beginPhase(name string) { l.writeLine(wireLogLine{Time: time.Now(), Phase: name}) }

func (l *runLog) addBrokenFlow(t stoatpacket.Tuple, sent time.Time) {
	l.writeLine(wireLogLine{Time: time.Now(), Flow: t.Src.String() + " > " + t.Dst.String(), Sent: &sent})
}

func (l *runLog) writeLine(line wireLogLine) {
	data, err := json.Marshal(line)
	if err == nil {
		_, _ = l.file.Write(append(data, '\n'))
	}
}

// close removes the file of a run that kept every guarantee, and otherwise writes to out where it is.
func (l *runLog) close(out io.Writer, result error) {
	_ = l.file.Close()
	var violated *GuaranteeError
	var late *TimeoutError
	if errors.As(result, &violated) || errors.As(result, &late) {
		_, _ = fmt.Fprintf(out, "the entries' logs are kept in %s\n", l.file.Name())
		return
	}
	_ = os.Remove(l.file.Name())
}
