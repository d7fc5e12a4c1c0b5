package stoatcall

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/stoatpaddle/stoatpaddle/stoatevent"
)

// The problems that a caller can get instead of an answer. Their numbers are part of the problem types.
var (
	ProblemNotReady = stoatevent.Register(stoatevent.Definition{
		Number: 1301, Severity: stoatevent.Warning, Since: "0.1",
		Title: "not run: entry has no configuration yet",
		Text:  "The entry has just started and has not received the contracts from the platform or a peer yet. The call was not run and may be sent again.",
	})
	ProblemNoService = stoatevent.Register(stoatevent.Definition{
		Number: 1302, Severity: stoatevent.Info, Since: "0.1",
		Title: "not run: no such service",
		Text:  "No contract has a call service with the authority of the request. The call was not run. Check the host of the call service in the contract.",
	})
	ProblemOverLimit = stoatevent.Register(stoatevent.Definition{
		Number: 1303, Severity: stoatevent.Info, Since: "0.1",
		Title: "not run: over the contract's limit",
		Text:  "The customer's limit on concurrent calls or on calls a second is reached on this entry. The call was not run; Retry-After says when to retry.",
	})
	ProblemNoCapacity = stoatevent.Register(stoatevent.Definition{
		Number: 1304, Severity: stoatevent.Warning, Since: "0.1",
		Title: "not run: no upstream has room",
		Text:  "The upstreams that the entry tried refused the call or could not be reached, or no upstream had a free slot. The call was not run; Retry-After says when to retry.",
	})
	ProblemUnknownOutcome = stoatevent.Register(stoatevent.Definition{
		Number: 1305, Severity: stoatevent.Warning, Since: "0.1",
		Title: "outcome unknown",
		Text:  "The upstream may have started the call but did not answer. A call that is not idempotent may have run; the entry does not send it to another upstream.",
	})
	ProblemStopping = stoatevent.Register(stoatevent.Definition{
		Number: 1306, Severity: stoatevent.Info, Since: "0.1",
		Title: "not run: entry is leaving",
		Text:  "The entry is stopping as planned. The call was not run and may be sent again at once; another entry will accept it.",
	})
	ProblemGivesWay = stoatevent.Register(stoatevent.Definition{
		Number: 1307, Severity: stoatevent.Info, Since: "0.2",
		Title: "not run: more urgent calls need the room",
		Text:  "The upstreams that the call's service shares with others are short of room, and calls of a service with a lower priority number take it. The call was not run; Retry-After says when to retry. Add upstreams, or change the priority in the contract.",
	})
)

// wireProblem is a problem details object (RFC 9457).
type wireProblem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Call   string `json:"instance,omitempty"` // the id of a refused call
}

// callURN begins the URN of a refused call.
const callURN = "urn:stoatpaddle:call:"

// writeProblem answers with a problem. retryAfter is in seconds; 0 sends no Retry-After. An empty id names no call.
func writeProblem(w http.ResponseWriter, e *stoatevent.Definition, status, retryAfter int, detail, id string) {
	if id != "" {
		id = callURN + id
	}
	body, err := json.Marshal(wireProblem{
		Type: "urn:stoatpaddle:" + e.Number.String(), Title: e.Title, Status: status, Detail: detail, Call: id,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/problem+json")
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfter))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
