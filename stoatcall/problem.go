package stoatcall

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/stoatpaddle/stoatpaddle/stoatevent"
)

// The ends of a call that are not the whole answer; their numbers are the problem types.
var (
	ProblemNotReady = stoatevent.Register(stoatevent.Definition{
		Number: 1301, Severity: stoatevent.Warning, Since: "0.1",
		Title: "not run: entry has no configuration yet",
		Text:  "The entry has just started and neither the platform nor a peer gave it the contracts. The call was not run and may be sent again.",
	})
	ProblemNoService = stoatevent.Register(stoatevent.Definition{
		Number: 1302, Severity: stoatevent.Info, Since: "0.1",
		Title: "not run: no such service",
		Text:  "No contract has a call service with the authority that the request names.",
	})
	ProblemOverLimit = stoatevent.Register(stoatevent.Definition{
		Number: 1303, Severity: stoatevent.Info, Since: "0.1",
		Title: "not run: over the contract's limit",
		Text:  "The customer's limit on calls at once or a second is reached on this entry. The call was not run; Retry-After tells when to come back.",
	})
	ProblemNoCapacity = stoatevent.Register(stoatevent.Definition{
		Number: 1304, Severity: stoatevent.Warning, Since: "0.1",
		Title: "not run: no upstream has room",
		Text:  "Every upstream of the service refused the call or has all its slots in use. The call was not run; Retry-After tells when to come back.",
	})
	ProblemUnknownOutcome = stoatevent.Register(stoatevent.Definition{
		Number: 1305, Severity: stoatevent.Warning, Since: "0.1",
		Title: "outcome unknown",
		Text:  "The upstream may have begun the call and no answer came. A call that is not idempotent may have run.",
	})
	ProblemStopping = stoatevent.Register(stoatevent.Definition{
		Number: 1306, Severity: stoatevent.Info, Since: "0.1",
		Title: "not run: entry is leaving",
		Text:  "The entry is in its planned stop. The call was not run and may be sent again at once; another entry takes it.",
	})
)

// wireProblem is RFC 9457's problem details.
type wireProblem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
}

// refuse answers with a problem; after is in seconds, 0 for none.
func refuse(w http.ResponseWriter, e *stoatevent.Definition, status, after int, detail string) {
	body, err := json.Marshal(wireProblem{
		Type: "urn:stoatpaddle:" + e.Number.String(), Title: e.Title, Status: status, Detail: detail,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/problem+json")
	if after > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(after))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
