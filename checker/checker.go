// Package checker verifies the properties P1 to P8 of the design document from the outside: from the journals of the
// workers, the replies to callers, and the history of the platform's table. It shares no decision logic with the system
// under test, so that a bug in a decision can't hide itself. See docs/notes/checker.md for what each check can and
// cannot detect.
package checker

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"samphirepoint/load"
	"samphirepoint/standin/workerd"
)

// Time bounds of the design document, section 1.1.
const (
	// leavingBound is the time after which a leaving worker must receive no new work (P6).
	leavingBound = 3 * time.Second
	// rolloutBound is the time within which an accepted change must be in force at every entry (P8).
	rolloutBound = 7 * time.Second
)

// Property names one of the properties P1 to P8.
type Property string

// Properties of the design document, section 1.1.
const (
	P1 Property = "P1" // availability budgets and weighted shares are kept
	P2 Property = "P2" // a worker works for one pool at a time
	P3 Property = "P3" // responses are complete and belong to their requests
	P4 Property = "P4" // work that was rejected as not run never starts
	P5 Property = "P5" // non-idempotent work starts at most once
	P6 Property = "P6" // a leaving worker receives no new work
	P7 Property = "P7" // planned shutdowns and reboots lose no work
	P8 Property = "P8" // accepted table versions take effect in time and are never reverted
)

var properties = []Property{P1, P2, P3, P4, P5, P6, P7, P8}

// PoolSample is one committed state of an instance row.
type PoolSample struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Address  string    `json:"address,omitempty"`
	Pool     string    `json:"pool"`
	// State is serving, draining, rebooting or failed.
	State   string `json:"state"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Budget is the number of instances of a pool that may be unavailable from the time From on.
type Budget struct {
	Pool           string    `json:"pool"`
	From           time.Time `json:"from"`
	MaxUnavailable int       `json:"maxUnavailable"`
}

// Share is the weight of a backer and its limit of slots; Limit 0 means no limit.
type Share struct {
	Weight float64 `json:"weight"`
	Limit  int     `json:"limit,omitempty"`
}

// VersionSample is the table version that an entry uses at a time.
type VersionSample struct {
	Time    time.Time `json:"time"`
	Entry   string    `json:"entry"`
	Version int64     `json:"version"`
	// Serving reports that the entry admits work. A stale entry that rejects everything does not use its version.
	Serving bool `json:"serving"`
}

// Acceptance is the time at which the reply to an operator reported that a version is accepted.
type Acceptance struct {
	Time    time.Time `json:"time"`
	Version int64     `json:"version"`
}

// LeavingSpan is an interval in which a worker was leaving; a zero To means until the end of the run.
type LeavingSpan struct {
	Worker string    `json:"worker"`
	From   time.Time `json:"from"`
	To     time.Time `json:"to,omitzero"`
}

// Shutdown is a graceful shutdown of an entry.
type Shutdown struct {
	// Entry is the address as in load.Record.Entry.
	Entry string    `json:"entry"`
	Begin time.Time `json:"begin"`
	End   time.Time `json:"end"`
	// Exclusive reports that no other fault was active, so that each unknown outcome of work in flight counts.
	Exclusive bool `json:"exclusive,omitempty"`
}

// Input is all evidence of one run. Parts may be missing; the report lists what was not checked.
type Input struct {
	// Journal holds the events of all workers in any order.
	Journal []workerd.Event
	Records []load.Record
	// Pools is the history of instance rows in order of commit.
	Pools    []PoolSample
	Budgets  []Budget
	Shares   map[string]Share // by backer
	Versions []VersionSample
	Accepted []Acceptance
	// Leaving adds to the Leaving and Available events of the journals.
	Leaving   []LeavingSpan
	Shutdowns []Shutdown
}

// Violation is a violation of a property, with the evidence for it.
type Violation struct {
	Property Property  `json:"property"`
	Time     time.Time `json:"time"`
	Message  string    `json:"what"`
	Evidence []string  `json:"evidence,omitempty"`
}

// Report is the result of Check.
type Report struct {
	Violations []Violation `json:"violations"`
	// Checked counts the checks per property. A property with 0 was not tested by the run.
	Checked map[Property]int `json:"checked"`
	// Gaps names what could not be checked for lack of evidence.
	Gaps []string `json:"gaps,omitempty"`
}

// Check checks all properties.
func Check(in Input) Report {
	c := &check{in: in, index: newIndex(in.Journal), report: Report{Violations: []Violation{}, Checked: map[Property]int{}}}
	c.checkBudgets()
	c.checkShares()
	c.checkPools()
	c.checkAnswers()
	c.checkRejections()
	c.checkAtMostOnce()
	c.checkLeaving()
	c.checkShutdowns()
	c.checkVersions()
	for _, p := range properties {
		if c.report.Checked[p] == 0 {
			c.report.Gaps = append(c.report.Gaps, fmt.Sprintf("%s: no evidence to check", p))
		}
	}
	sort.SliceStable(c.report.Violations, func(i, j int) bool {
		return c.report.Violations[i].Property < c.report.Violations[j].Property
	})
	return c.report
}

type check struct {
	in     Input
	index  *index
	report Report
}

func (c *check) countCheck(p Property) { c.report.Checked[p]++ }

func (c *check) addViolation(p Property, at time.Time, evidence []string, format string, args ...any) {
	c.report.Violations = append(c.report.Violations, Violation{Property: p, Time: at, Message: fmt.Sprintf(format, args...), Evidence: evidence})
}

// ViolationsOf returns the violations of one property.
func (r Report) ViolationsOf(p Property) []Violation {
	var list []Violation
	for _, v := range r.Violations {
		if v.Property == p {
			list = append(list, v)
		}
	}
	return list
}

// printedPerProperty bounds the violations of a property in the text form; the JSON form has all.
const printedPerProperty = 10

// String returns the text form.
func (r Report) String() string {
	var b strings.Builder
	for _, p := range properties {
		list := r.ViolationsOf(p)
		fmt.Fprintf(&b, "%s: %d violations in %d checks\n", p, len(list), r.Checked[p])
		for i, v := range list {
			if i == printedPerProperty {
				fmt.Fprintf(&b, "  and %d more\n", len(list)-i)
				break
			}
			fmt.Fprintf(&b, "  %s %s\n", v.Time.Format(timeFormat), v.Message)
			for _, e := range v.Evidence {
				fmt.Fprintf(&b, "    %s\n", e)
			}
		}
	}
	for _, g := range r.Gaps {
		fmt.Fprintf(&b, "not checked: %s\n", g)
	}
	return b.String()
}

const timeFormat = "15:04:05.000"

func describeEvent(e workerd.Event) string {
	s := fmt.Sprintf("%s worker %s %s request %s attempt %s backer %s pool %s", e.Time.Format(timeFormat), e.Worker, e.Kind,
		e.RequestID, e.Attempt, e.Backer, e.Pool)
	for _, f := range []struct{ name, value string }{{"task", e.Task}, {"key", e.Key}, {"outcome", string(e.Outcome)}, {"reason", e.Reason}} {
		if f.value != "" {
			s += " " + f.name + " " + f.value
		}
	}
	return s
}

func describeRecord(r *load.Record) string {
	return fmt.Sprintf("%s to %s caller of %s at %s: request %s key %q repeat %d: status %d verdict %q replayed %t error %s %s",
		r.Sent.Format(timeFormat), r.Ended.Format(timeFormat), r.Backer, r.Entry, r.RequestID, r.Key, r.Resubmission, r.Status, r.Verdict,
		r.Replayed, r.ErrKind, r.Err)
}
