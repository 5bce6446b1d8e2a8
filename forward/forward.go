// Package forward transports requests between entries: Client sends a request to another entry,
// and Options reads the options that Client sent. The receiving entry runs the same filters as
// for callers.
package forward

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"samphirepoint/dispatch"
	"samphirepoint/filter"
	"samphirepoint/request"
	"samphirepoint/verdict"
)

// Path is the URL path of forwarded requests; {queue} is the queue's name.
const Path = "/peer/forward/{queue}/requests"

// CancelPath is the URL path of a request at the entry that works on it: POST cancels it, GET reports whether it is
// in flight.
const CancelPath = "/peer/cancel/{id}"

// NotifyPath is the URL path that notifies the owner of a pool of a new or changed job.
const NotifyPath = "/peer/jobs/{id}"

const (
	headerNoWait = "Samphire-No-Wait"
	headerAttach = "Samphire-Attach"
	// pingAfter is the time without an answer after which the other entry is pinged.
	pingAfter = 500 * time.Millisecond
	// maxCheckInterval bounds the time between checks that the request is still in flight at the other entry. Below the
	// bound the time to the next check is half of the time that the forward has taken so far: a lost answer to short work
	// is detected within 2 s (design document, section 6), and long work needs few checks.
	maxCheckInterval = 5 * time.Second
	// attachPatience is the time without an answer to a ping after which a request that only attaches gives up. It has no other
	// entry to go to, so it bears a stall for as long as an entry without heartbeats counts as alive.
	attachPatience = 3 * time.Second
	// maxPause bounds the wait for the answer of an unresponsive entry: a paused process goes on within 30 s (design document,
	// section 1.6).
	maxPause = 30 * time.Second
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 8 << 20
	// maxErrorBytes bounds the bodies of error responses and of answers to short calls.
	maxErrorBytes = 64 << 10
)

// Peers provides the addresses and the liveness of other entries.
type Peers interface {
	// BaseURL returns the base URL of an entry's peer interface, such as http://127.0.0.1:7101; false if it is unknown.
	BaseURL(entryID string) (string, bool)
	// Token returns the token that authenticates this entry to others.
	Token() string
	// Self returns the id of this entry.
	Self() string
	// Ping reports whether the entry answers within 500 ms.
	Ping(ctx context.Context, entryID string) bool
}

// Client forwards requests to other entries.
type Client struct {
	peers Peers
	http  *http.Client
}

// NewClient returns a client that uses transport for connections to other entries.
func NewClient(p Peers, transport http.RoundTripper) *Client {
	return &Client{peers: p, http: &http.Client{Transport: transport}}
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

// Forward implements filter.Forwarder. If the other entry is unresponsive, it returns at once; a non-idempotent request that
// was sent then stays outstanding, since the answer may still tell that it did not run.
func (c *Client) Forward(fc *filter.Context, to filter.Target, o filter.ForwardOptions) (*filter.Answer, error) {
	base, ok := c.peers.BaseURL(to.ID)
	if !ok {
		return nil, unreachable(fmt.Errorf("address of entry %s is unknown", to.ID), verdict.NotRun)
	}
	ctx, cancel := context.WithCancelCause(fc.Ctx)
	req, err := c.newRequest(ctx, fc, base, o)
	if err != nil {
		cancel(nil)
		return nil, verdict.Wrap(err, verdict.NotRun, http.StatusInternalServerError)
	}
	e := &exchange{client: c, requestCtx: fc.Ctx, requestID: fc.Request.ID}
	e.result = filter.NewOutstanding(func() { cancel(nil) })
	go func() {
		defer cancel(nil)
		e.result.Finish(e.run(req))
	}()
	silent := make(chan struct{})
	patience := time.Duration(0)
	if o.Attach {
		patience = attachPatience
	}
	stop := c.watch(ctx, to.ID, fc.Request.ID, patience, func(answerLost bool) {
		if answerLost || fc.Request.Idempotent || o.Attach || !e.gotConn.Load() {
			cancel(errPeerUnresponsive)
			return
		}
		time.AfterFunc(maxPause, func() { cancel(errPeerUnresponsive) })
		close(silent)
	})
	defer stop()
	select {
	case <-e.result.Done():
		return e.result.Result()
	case <-silent:
		return nil, verdict.Wrap(&filter.SilentError{Forward: e.result}, verdict.MayHaveRun, http.StatusBadGateway)
	}
}

// exchange is one HTTP request to another entry and its response.
type exchange struct {
	client *Client
	// requestCtx is the context of the caller's request.
	requestCtx context.Context
	requestID  string
	// gotConn is set once a connection is available, so that the request may have been sent.
	gotConn atomic.Bool
	result  *filter.Outstanding
}

// run sends the request and reads the answer.
func (e *exchange) run(req *http.Request) (*filter.Answer, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { e.gotConn.Store(true) }}
	resp, err := e.client.http.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, e.transportError(err)
	}
	defer resp.Body.Close()
	return e.read(resp)
}

func (c *Client) newRequest(ctx context.Context, fc *filter.Context, base string, o filter.ForwardOptions) (*http.Request, error) {
	r := fc.Request
	target := base + strings.Replace(Path, "{queue}", url.PathEscape(r.Queue), 1)
	// NopCloser hides the type of the body, so that net/http cannot rewind it and never retries the request on its own.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, io.NopCloser(bytes.NewReader(r.Body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(r.Body))
	h := req.Header
	h.Set("Authorization", "Bearer "+c.peers.Token())
	h.Set(request.HeaderRequestID, r.ID)
	h.Set(request.HeaderBacker, r.Backer)
	h.Set(request.HeaderPool, o.Pool)
	h.Set(request.HeaderHops, strconv.Itoa(r.Hops+1))
	h.Set(request.HeaderVisited, strings.Join(append(r.Visited[:len(r.Visited):len(r.Visited)], c.peers.Self()), ","))
	h.Set(request.HeaderIdempotent, strconv.FormatBool(r.Idempotent))
	h.Set(request.HeaderDeadline, remoteTimeout(time.Until(r.Deadline)).String())
	setNonEmpty(h, request.HeaderIdempotencyKey, r.Key)
	setNonEmpty(h, request.HeaderKind, r.Kind)
	setNonEmpty(h, request.HeaderClass, r.Class.String())
	setNonEmpty(h, "Content-Type", r.ContentType)
	if !r.KeyIssued.IsZero() {
		h.Set(request.HeaderIdempotencyIssued, r.KeyIssued.Format(time.RFC3339Nano))
	}
	if o.NoWait {
		h.Set(headerNoWait, "true")
	}
	if o.Attach {
		h.Set(headerAttach, "true")
	}
	return req, nil
}

// answerMarginDivisor and maxAnswerMargin shorten the deadline of a forwarded request by its remaining time divided
// by answerMarginDivisor, at most by maxAnswerMargin, so that the owner's verdict on a request whose deadline passed
// arrives before the deadline at this entry.
const (
	answerMarginDivisor = 10
	maxAnswerMargin     = 100 * time.Millisecond
)

// remoteTimeout returns the timeout of a request at the entry that it is forwarded to, given the remaining time here.
func remoteTimeout(remaining time.Duration) time.Duration {
	return max(remaining-min(remaining/answerMarginDivisor, maxAnswerMargin), time.Millisecond)
}

func setNonEmpty(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// Options reads the options of a forwarded request into its context.
func Options(r *http.Request, c *filter.Context) {
	c.Forwarded = true
	c.NoWait = r.Header.Get(headerNoWait) == "true"
	c.Attach = r.Header.Get(headerAttach) == "true"
}

// errPeerUnresponsive is the cause of a forward that was cancelled because the other entry does not answer pings or no
// longer has the request.
var errPeerUnresponsive = errors.New("entry is unresponsive")

// watch calls giveUp once the other entry has not answered pings for the time of patience, or once it answers but the request
// is no longer in flight there: then the answer was lost on a broken connection.
func (c *Client) watch(ctx context.Context, entryID, requestID string, patience time.Duration, giveUp func(answerLost bool)) (stop func()) {
	done := make(chan struct{})
	started := time.Now()
	lastSign := started
	timer := time.AfterFunc(pingAfter, func() {
		nextCheck := started.Add(2 * pingAfter)
		for {
			answers := c.peers.Ping(ctx, entryID)
			if answers {
				lastSign = time.Now()
			} else if time.Since(lastSign) >= patience {
				giveUp(false)
				return
			}
			if answers && time.Now().After(nextCheck) {
				if inFlight, err := c.inFlight(ctx, entryID, requestID); err == nil && !inFlight {
					giveUp(true)
					return
				}
				nextCheck = time.Now().Add(min(time.Since(started)/2, maxCheckInterval))
			}
			select {
			case <-done:
				return
			case <-ctx.Done():
				return
			case <-time.After(pingAfter):
			}
		}
	})
	return func() {
		close(done)
		timer.Stop()
	}
}

// inFlight asks the entry whether it still works on a request. It asks a second time before it reports false, since the
// answer to the request may have been on its way at the first time.
func (c *Client) inFlight(ctx context.Context, entryID, requestID string) (bool, error) {
	for try := 0; ; try++ {
		status, err := c.call(ctx, http.MethodGet, entryID, CancelPath, requestID)
		if err != nil || status != http.StatusNotFound {
			return true, err
		}
		if try > 0 {
			return false, nil
		}
		time.Sleep(pingAfter)
	}
}

// transportError returns the error of an exchange that failed in the transport.
func (e *exchange) transportError(err error) error {
	gotConn := e.gotConn.Load()
	if cause := context.Cause(e.requestCtx); cause != nil {
		if errors.Is(cause, context.DeadlineExceeded) {
			cause = errors.New("deadline passed")
		}
		if gotConn {
			return verdict.Wrap(cause, verdict.MayHaveRun, http.StatusGatewayTimeout)
		}
		return verdict.Wrap(cause, verdict.NotRun, http.StatusGatewayTimeout)
	}
	if !gotConn || verdict.NeverSent(err) {
		return unreachable(err, verdict.NotRun)
	}
	return unreachable(err, verdict.MayHaveRun)
}

func unreachable(err error, v verdict.Verdict) error {
	return verdict.Wrap(fmt.Errorf("%w: %v", filter.ErrUnreachable, err), v, http.StatusBadGateway)
}

// read checks that the answer is complete and belongs to this request. Error responses of the other
// entry carry its verdict.
func (e *exchange) read(resp *http.Response) (*filter.Answer, error) {
	limit := int64(maxAnswerBytes)
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	if err != nil {
		return nil, unreachable(err, verdict.MayHaveRun)
	}
	if id := resp.Header.Get(request.HeaderRequestID); id != e.requestID {
		return nil, unreachable(fmt.Errorf("answer is for request %q", id), verdict.MayHaveRun)
	}
	if hash := resp.Header.Get(request.HeaderBodyHash); hash != request.BodyHash(body) {
		return nil, unreachable(fmt.Errorf("answer has body hash %q", hash), verdict.MayHaveRun)
	}
	if resp.Header.Get(HeaderRefusal) == "true" {
		return nil, responseError(resp, body)
	}
	return &filter.Answer{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
		Worker:      resp.Header.Get(request.HeaderWorker),
		Replayed:    resp.Header.Get(request.HeaderReplayed) == "true",
	}, nil
}

// HeaderRefusal marks an answer that was created by an entry and not by a worker.
const HeaderRefusal = "Samphire-Refusal"

func responseError(resp *http.Response, body []byte) error {
	v, err := verdict.Parse(resp.Header.Get(request.HeaderVerdict))
	if err != nil {
		v = verdict.MayHaveRun
	}
	var e errorBody
	if json.Unmarshal(body[:min(len(body), maxErrorBytes)], &e) != nil || e.Error == "" {
		e.Error = resp.Status
	}
	refused := errors.New(e.Error)
	switch resp.StatusCode {
	case http.StatusMisdirectedRequest:
		refused = fmt.Errorf("%w: %s", dispatch.ErrNotOwner, e.Error)
	case http.StatusUnauthorized:
		// The other entry does not accept this entry's token, which does not concern the caller.
		refused = fmt.Errorf("%w: %s", filter.ErrUnreachable, e.Error)
	}
	result := verdict.Wrap(refused, v, resp.StatusCode)
	return verdict.WithRetryAfterHeader(result, resp.Header)
}

// Cancel asks an entry to cancel a request and reports whether the request was in flight there.
func (c *Client) Cancel(ctx context.Context, entryID, requestID string) (bool, error) {
	status, err := c.call(ctx, http.MethodPost, entryID, CancelPath, requestID)
	if err == nil && status != http.StatusNoContent && status != http.StatusNotFound {
		err = fmt.Errorf("cancel at entry %s: status %d", entryID, status)
	}
	return err == nil && status == http.StatusNoContent, err
}

// Notify notifies an entry of a new or changed job.
func (c *Client) Notify(ctx context.Context, entryID, jobID string) error {
	_, err := c.call(ctx, http.MethodPost, entryID, NotifyPath, jobID)
	return err
}

// callTimeout bounds short calls between entries.
const callTimeout = time.Second

func (c *Client) call(ctx context.Context, method, entryID, path, id string) (status int, err error) {
	base, ok := c.peers.BaseURL(entryID)
	if !ok {
		return 0, fmt.Errorf("address of entry %s is unknown", entryID)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	target := base + strings.Replace(path, "{id}", url.PathEscape(id), 1)
	req, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+c.peers.Token())
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBytes))
	return resp.StatusCode, err
}

// DemandPath is the URL path where the lease holder reads the demand per queue of an entry.
const DemandPath = "/peer/demand"

// Demand returns an entry's demand in slots per queue.
func (c *Client) Demand(ctx context.Context, entryID string) (map[string]float64, error) {
	base, ok := c.peers.BaseURL(entryID)
	if !ok {
		return nil, fmt.Errorf("address of entry %s is unknown", entryID)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+DemandPath, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.peers.Token())
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("demand of entry %s: status %d", entryID, resp.StatusCode)
	}
	var demand map[string]float64
	err = json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&demand)
	return demand, err
}
