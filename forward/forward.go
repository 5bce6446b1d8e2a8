// Package forward transports requests between entries: Client sends a request to another entry,
// and Options reads the options that Client sent. The receiving entry runs the same filters as
// for callers.
package forward

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

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
	body := &requestBody{reader: bytes.NewReader(fc.Request.Body)}
	req, err := c.newRequest(ctx, fc, base, body, o)
	if err != nil {
		cancel(nil)
		return nil, verdict.Wrap(err, verdict.NotRun, http.StatusInternalServerError)
	}
	return newExchange(c, fc, to.ID, o, body, cancel).do(req)
}

func (c *Client) newRequest(ctx context.Context, fc *filter.Context, base string, body *requestBody, o filter.ForwardOptions) (*http.Request, error) {
	r := fc.Request
	target := base + strings.Replace(Path, "{queue}", url.PathEscape(r.Queue), 1)
	// net/http cannot rewind a body of an unknown type, so it never retries the request on its own.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, body)
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

// call makes a call about the request or job id and returns the status of the response.
func (c *Client) call(ctx context.Context, method, entryID, path, id string) (status int, err error) {
	err = c.send(ctx, method, entryID, strings.Replace(path, "{id}", url.PathEscape(id), 1), func(resp *http.Response) error {
		status = resp.StatusCode
		_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBytes))
		return err
	})
	return status, err
}

// send sends a request without a body to an entry and passes the response to read.
func (c *Client) send(ctx context.Context, method, entryID, path string, read func(*http.Response) error) error {
	base, ok := c.peers.BaseURL(entryID)
	if !ok {
		return fmt.Errorf("address of entry %s is unknown", entryID)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, base+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.peers.Token())
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return read(resp)
}

// DemandPath is the URL path where the lease holder reads the demand per queue of an entry.
const DemandPath = "/peer/demand"

// Demand returns an entry's demand in slots per queue.
func (c *Client) Demand(ctx context.Context, entryID string) (map[string]float64, error) {
	var demand map[string]float64
	err := c.send(ctx, http.MethodGet, entryID, DemandPath, func(resp *http.Response) error {
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("demand of entry %s: status %d", entryID, resp.StatusCode)
		}
		return json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&demand)
	})
	return demand, err
}
