package filter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"samphirepoint/claim"
	"samphirepoint/request"
	"samphirepoint/table"
	"samphirepoint/verdict"
)

const (
	// defaultDeadline applies to requests without Samphire-Deadline.
	defaultDeadline = 30 * time.Second
	// maxDeadline bounds Samphire-Deadline; longer work is submitted as a job.
	maxDeadline = time.Hour
	// maxJobDeadline bounds Samphire-Deadline of jobs.
	maxJobDeadline = 7 * 24 * time.Hour
	// maxNameBytes bounds the length of ids, keys and kinds that callers choose.
	maxNameBytes = 200
	// maxIssuedAhead bounds how far Idempotency-Issued may be in the future: with a later time the key would still be
	// accepted after its record is deleted.
	maxIssuedAhead = claim.Retention - claim.MaxIssueAge
)

// Identification reads headers and body into a request.Request and sets the deadline of the context.
type Identification struct {
	// EntryID is the prefix of generated request ids, so that a cancel can be routed to the entry that generated the id.
	EntryID string
	// Track registers the cancel function of a request; ok is false if the id is in use.
	Track func(c *Context, cancel context.CancelCauseFunc) (untrack func(), ok bool)
	// Job applies the rules for jobs: no default deadline and a higher maximum.
	Job bool
}

// Name implements Filter.
func (Identification) Name() string { return "identification" }

// Request implements Filter.
func (f Identification) Request(c *Context) error {
	r, err := f.parse(c)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, http.StatusBadRequest)
	}
	c.Request = r
	if err := f.resolveQueue(c); err != nil {
		return err
	}
	if err := f.readBody(c); err != nil {
		return err
	}
	c.Log = c.Log.With().Str("request", r.ID).Str("backer", r.Backer).Str("queue", r.Queue).Logger()
	return f.track(c)
}

func (f Identification) parse(c *Context) (*request.Request, error) {
	h := c.HTTP.Header
	r := &request.Request{
		ID:          h.Get(request.HeaderRequestID),
		Backer:      c.Principal.Name,
		Queue:       c.QueueName,
		Kind:        h.Get(request.HeaderKind),
		Key:         h.Get(request.HeaderIdempotencyKey),
		ContentType: h.Get("Content-Type"),
		Received:    time.Now(),
	}
	var err error
	if r.Class, err = request.ParseClass(h.Get(request.HeaderClass)); err != nil {
		return nil, fmt.Errorf("%s: %w", request.HeaderClass, err)
	}
	if r.Idempotent, err = parseIdempotent(h.Get(request.HeaderIdempotent)); err != nil {
		return nil, err
	}
	if !r.Idempotent && r.Key == "" {
		return nil, fmt.Errorf("%s: missing; a non-idempotent request needs a key", request.HeaderIdempotencyKey)
	}
	if r.Deadline, err = f.parseDeadline(h.Get(request.HeaderDeadline), r.Received); err != nil {
		return nil, err
	}
	if r.KeyIssued, err = parseIssued(h.Get(request.HeaderIdempotencyIssued), r.Received); err != nil {
		return nil, err
	}
	if err := checkNames(r); err != nil {
		return nil, err
	}
	if r.ID == "" {
		r.ID = f.EntryID + "." + uuid.NewString()
	}
	if c.Forwarded {
		return r, parseForwarded(h, r)
	}
	return r, nil
}

func parseIdempotent(s string) (bool, error) {
	if s == "" {
		return true, nil
	}
	v, err := strconv.ParseBool(s)
	if err != nil {
		return false, fmt.Errorf("%s: %q, expected true or false", request.HeaderIdempotent, s)
	}
	return v, nil
}

func (f Identification) parseDeadline(s string, now time.Time) (time.Time, error) {
	longest := maxDeadline
	if f.Job {
		longest = maxJobDeadline
	}
	if s == "" && f.Job {
		return time.Time{}, nil
	}
	if s == "" {
		return now.Add(defaultDeadline), nil
	}
	d, err := time.ParseDuration(s)
	if err != nil || d <= 0 || d > longest {
		return time.Time{}, fmt.Errorf("%s: %q, expected a duration such as 1500ms up to %s", request.HeaderDeadline, s, longest)
	}
	return now.Add(d), nil
}

func parseIssued(s string, now time.Time) (time.Time, error) {
	if s == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339, s)
	if err != nil {
		return time.Time{}, fmt.Errorf("%s: %q, expected a time such as 2026-01-02T15:04:05Z", request.HeaderIdempotencyIssued, s)
	}
	if now.Sub(t) > claim.MaxIssueAge {
		return time.Time{}, fmt.Errorf("%s: %q is older than %s; the record of this key may have been deleted", request.HeaderIdempotencyIssued, s, claim.MaxIssueAge)
	}
	if t.Sub(now) > maxIssuedAhead {
		return time.Time{}, fmt.Errorf("%s: %q is more than %s ahead of this entry's clock", request.HeaderIdempotencyIssued, s, maxIssuedAhead)
	}
	return t, nil
}

func checkNames(r *request.Request) error {
	for header, value := range map[string]string{
		request.HeaderRequestID:      r.ID,
		request.HeaderIdempotencyKey: r.Key,
		request.HeaderKind:           r.Kind,
	} {
		if len(value) > maxNameBytes || strings.ContainsFunc(value, func(c rune) bool { return c <= ' ' || c > '~' || c == '/' }) {
			return fmt.Errorf("%s: expected at most %d printable ASCII characters without space and slash", header, maxNameBytes)
		}
	}
	if r.ID == "." || r.ID == ".." {
		// The id is part of paths, in which these have a meaning.
		return fmt.Errorf("%s: %q is not an id", request.HeaderRequestID, r.ID)
	}
	return nil
}

// parseForwarded reads the backer, the pool, the visited entries and the number of hops that the forwarding entry set.
func parseForwarded(h http.Header, r *request.Request) error {
	r.Backer = h.Get(request.HeaderBacker)
	r.Pool = h.Get(request.HeaderPool)
	if v := h.Get(request.HeaderVisited); v != "" {
		r.Visited = strings.Split(v, ",")
	}
	hops, err := strconv.Atoi(h.Get(request.HeaderHops))
	if err != nil || hops < 0 || r.Backer == "" || r.Pool == "" {
		return errors.New("forwarded request without backer, pool or number of hops")
	}
	r.Hops = hops
	return nil
}

func (f Identification) resolveQueue(c *Context) error {
	q, ok := c.Document.Queue(c.QueueName)
	if !ok {
		return verdict.New(verdict.NotRun, http.StatusNotFound, "unknown queue %q", c.QueueName)
	}
	if _, ok := c.Document.Backer(c.Request.Backer); !ok {
		return verdict.New(verdict.NotRun, http.StatusForbidden, "backer %q is not in the table", c.Request.Backer)
	}
	if !mayUse(q, c.Request.Backer) {
		return verdict.New(verdict.NotRun, http.StatusForbidden, "backer %q may not use queue %q", c.Request.Backer, q.Name)
	}
	c.Queue = q
	if c.Request.Pool == "" {
		c.Request.Pool = q.Pools[0]
	}
	return nil
}

func mayUse(q table.Queue, backer string) bool {
	return len(q.Backers) == 0 || slices.Contains(q.Backers, backer)
}

func (f Identification) readBody(c *Context) error {
	body, err := io.ReadAll(c.HTTP.Body)
	if err == nil {
		c.Request.Body = body
		return nil
	}
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, "body exceeds the limit of %d bytes", tooLong.Limit)
	}
	return verdict.Wrap(fmt.Errorf("body was received incompletely: %w", err), verdict.NotRun, http.StatusBadRequest)
}

// track sets the deadline and registers the request with the cancel API.
func (f Identification) track(c *Context) error {
	base := c.Ctx
	if !c.Request.Idempotent {
		// A caller that disconnects does not stop its non-idempotent request: the outcome is recorded
		// for a resubmission. Apart from its deadline, only the cancel API stops it.
		base = context.WithoutCancel(base)
	}
	cancelDeadline := context.CancelFunc(func() {})
	ctx := base
	if !c.Request.Deadline.IsZero() {
		ctx, cancelDeadline = context.WithDeadline(base, c.Request.Deadline)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	c.OnEnd(func() { cancel(nil); cancelDeadline() })
	untrack, ok := f.Track(c, cancel)
	if !ok {
		return verdict.New(verdict.MayHaveRun, http.StatusConflict, "request id %q is in use by a request in flight", c.Request.ID)
	}
	c.OnEnd(untrack)
	c.Ctx = ctx
	return nil
}

// Response implements Filter.
func (Identification) Response(*Context) {}
