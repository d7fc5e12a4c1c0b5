package stoatcall

import (
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// Rule is the rule by which a call was refused.
type Rule uint8

// The rules.
const (
	RuleStopping Rule        = iota // the entry is leaving
	RuleNotReady                    // the entry has no configuration yet
	RuleHost                        // no service has the authority
	RuleCalls                       // the customer's limit on calls in progress
	RuleRate                        // the customer's limit on calls a second
	RuleLevel                       // more urgent calls need the room
	RuleRoom                        // no upstream has room
	RuleCount                       // number of rules
	ruleNone     = RuleCount        // the call is not refused
)

// String returns the rule's name in log lines and metrics.
func (r Rule) String() string {
	return [...]string{"stopping", "starting", "host", "calls", "rate", "level", "room", "none"}[r]
}

// problem returns the problem and the status with which a call is refused by the rule.
func (r Rule) problem() (*stoatevent.Definition, int) {
	switch r {
	case RuleStopping:
		return ProblemStopping, http.StatusServiceUnavailable
	case RuleNotReady:
		return ProblemNotReady, http.StatusServiceUnavailable
	case RuleHost:
		return ProblemNoService, http.StatusMisdirectedRequest
	case RuleCalls, RuleRate:
		return ProblemOverLimit, http.StatusTooManyRequests
	case RuleLevel:
		return ProblemGivesWay, http.StatusServiceUnavailable
	default:
		return ProblemNoCapacity, http.StatusServiceUnavailable
	}
}

// maxRefusalLines limits the log lines a second for refused calls, so that a flood of calls does not become a flood
// of lines.
const maxRefusalLines = 40

// returnDecay is the time over which the rate of answers is measured for Retry-After. It is longer than the evidence
// for admission, since the waits that it yields are of seconds.
const returnDecay = time.Second

// refusal is the answer to a call that does not run.
type refusal struct {
	rule       Rule
	retryAfter int // seconds; 0: no header
	detail     string
	service    *stoatview.Service // nil if unknown
	share      float64            // RuleLevel: of the level's calls that is admitted
}

// refuse answers the call, counts the refusal and logs it under the call's id.
func (h *Handler) refuse(w http.ResponseWriter, r refusal) {
	h.stats.Refused.Add(1)
	h.stats.RefusedBy[r.rule].Add(1)
	id := string(h.cfg.Instance) + "-" + strconv.FormatUint(h.ids.Add(1), 36)
	h.logRefusal(id, r)
	e, status := r.rule.problem()
	writeProblem(w, e, status, r.retryAfter, r.detail, id)
}

func (h *Handler) logRefusal(id string, r refusal) {
	if !h.sampler.Allow(h.cfg.Clock(), EventCallRefused) {
		return
	}
	fields := []stoatevent.Field{
		stoatevent.F("call", id), stoatevent.F("rule", r.rule.String()), stoatevent.F("retry", strconv.Itoa(r.retryAfter)),
	}
	if r.service != nil {
		fields = append(fields, stoatevent.F("service", r.service.Ref.String()), stoatevent.F("priority", strconv.Itoa(r.service.Priority)))
	}
	if r.rule == RuleLevel {
		fields = append(fields, stoatevent.F("share", formatShare(r.share)))
	}
	for _, o := range h.sampler.TakeOmitted() {
		fields = append(fields, stoatevent.F("omitted", strconv.FormatInt(o.Count, 10)))
	}
	h.cfg.Events.Emit(EventCallRefused, fields...)
}

func formatShare(share float64) string { return strconv.FormatFloat(share, 'f', 3, 64) }

// refusalOf returns the refusal of a call for which no upstream had room.
func (h *Handler) refusalOf(t *attempts) refusal {
	now := h.cfg.Clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	out := refusal{rule: RuleRoom, detail: t.service.Ref.String(), service: t.service}
	if t.givesWay {
		out.rule, out.share = RuleLevel, t.share
		out.retryAfter = h.group(now, t.service).takeTurn(now, t.service.Priority, t.share)
		return out
	}
	u := h.usageOf(t.service)
	out.retryAfter = u.refused.take(now, 0, u.answered.PerSecond(now, returnDecay))
	return out
}

// usageOf returns what is known of the service's calls. h.mu must be held.
func (h *Handler) usageOf(svc *stoatview.Service) *serviceUsage {
	u := h.services[svc.Ref]
	if u == nil {
		u = &serviceUsage{}
		h.services[svc.Ref] = u
	}
	return u
}

// slot names what the calls in progress are counted for: the address of an upstream that several services of a
// customer share, and otherwise the upstream.
type slot struct {
	key      stoatpaddle.UpstreamKey
	customer stoatpaddle.CustomerID
	addr     netip.AddrPort
}

func slotOf(svc *stoatview.Service, u *stoatview.Upstream) slot {
	if svc.SharedAddrs[u.Addr] {
		return slot{customer: svc.Ref.Customer, addr: u.Addr}
	}
	return slot{key: u.Key}
}

// openAt returns the calls of this entry that are in progress at the upstream. h.mu must be held.
func (h *Handler) openAt(svc *stoatview.Service, u *stoatview.Upstream) int {
	return h.openByUpstream[slotOf(svc, u)]
}
