// Package worker implements the client of the workers (backend servers). It classifies each failed attempt by what is known
// about the execution of the request, and validates that a response is complete and belongs to the attempt.
package worker

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"samphirepoint/network"
	"samphirepoint/request"
	"samphirepoint/verdict"
)

const (
	// connectionsPerWorker bounds the idle connections to a worker: one per slot, so that with 8 entries a worker's 64
	// connections suffice.
	connectionsPerWorker = 8
	// dialTimeout bounds connection setup; zones are 0.5 ms apart, regions some 10 ms.
	dialTimeout = time.Second
	// idleTimeout closes idle connections before a middlebox is likely to drop their state.
	idleTimeout = 30 * time.Second
	// maxResponseBytes bounds a response body, which is held in memory.
	maxResponseBytes = 8 << 20
)

// ErrInvalidResponse reports a response that is truncated, altered or belongs to another attempt.
var ErrInvalidResponse = errors.New("response is incomplete, altered or for another attempt")

// ErrLeaving reports a rejection by a worker that is leaving.
var ErrLeaving = errors.New("worker is leaving")

// ErrNoFreeSlot reports a rejection by a worker without a free slot.
var ErrNoFreeSlot = errors.New("worker has no free slot")

// Attempt is one dispatch of a request to a worker.
type Attempt struct {
	Request *request.Request
	// ID is unique among all attempts of all entries, so that a response can be matched to its attempt.
	ID string
	// Worker is the id of the intended worker, so that another worker that now has the same address rejects the request.
	// Empty omits the check.
	Worker string
	// FreshConnection forbids pooled connections, since one of them may have become unresponsive. It is required for
	// non-idempotent work. It costs a round trip, 0.5 ms between zones.
	FreshConnection bool
	// Expected is a run time that most requests of this kind do not exceed; 0 means unknown. If an attempt takes much
	// longer, the client checks the worker's status.
	Expected time.Duration
}

// Response is a complete and validated reply of a worker.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// Leaving is set if the worker reported that it stops accepting new work.
	Leaving bool
}

// Client sends attempts to one worker.
type Client struct {
	address string
	fresh   *http.Transport
	pool    *http.Transport
	status  statusCache
}

// NewClient returns a client of the worker at address (IP:port).
func NewClient(address string) *Client { return NewClientOn(nil, address) }

// NewClientOn is NewClient on the given network; nil means the network of the host.
func NewClientOn(n network.Network, address string) *Client {
	dial := network.Dialer(n, dialTimeout, 15*time.Second)
	return &Client{
		address: address,
		pool: &http.Transport{
			DialContext:         dial,
			MaxConnsPerHost:     0,
			MaxIdleConnsPerHost: connectionsPerWorker,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		fresh: &http.Transport{
			DialContext:        dial,
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
	}
}

// Close closes idle connections; attempts in flight end normally.
func (c *Client) Close() {
	c.pool.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// DropIdleConnections closes all idle connections, after one of them became unresponsive.
func (c *Client) DropIdleConnections() { c.pool.CloseIdleConnections() }

// Run sends the attempt and returns the worker's response. The error carries the verdict: NotRun only if no byte of the
// request was written or the worker itself reported it.
func (c *Client) Run(ctx context.Context, a Attempt) (Response, error) {
	ctx, endWatch := c.watch(ctx, a)
	defer endWatch()
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) }}
	req, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), a)
	if err != nil {
		return Response{}, verdict.Wrap(err, verdict.NotRun, http.StatusInternalServerError)
	}
	resp, err := c.transport(a).RoundTrip(req)
	if err != nil {
		if !wrote.Load() {
			return Response{}, verdict.Wrap(err, verdict.NotRun, http.StatusBadGateway)
		}
		return Response{}, verdict.Wrap(cancelCause(ctx, err), verdict.MayHaveRun, http.StatusBadGateway)
	}
	defer resp.Body.Close()
	return c.read(resp, a)
}

func (c *Client) transport(a Attempt) *http.Transport {
	if a.FreshConnection {
		return c.fresh
	}
	return c.pool
}

func (c *Client) newRequest(ctx context.Context, a Attempt) (*http.Request, error) {
	// net/http retries a request on a broken idle connection if it can rewind the body or if the body is empty and the
	// request has an Idempotency-Key. Only the caller may decide to retry, since the first copy may have run, so the body
	// must be of a type that net/http cannot rewind.
	body := io.NopCloser(bytes.NewReader(a.Request.Body))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+"/run", body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(a.Request.Body))
	h := req.Header
	h.Set(request.HeaderRequestID, a.Request.ID)
	h.Set(request.HeaderAttempt, a.ID)
	if a.Worker != "" {
		h.Set(request.HeaderWorker, a.Worker)
	}
	h.Set(request.HeaderBacker, a.Request.Backer)
	h.Set(request.HeaderQueue, a.Request.Queue)
	h.Set(request.HeaderPool, a.Request.Pool)
	h.Set(request.HeaderKind, a.Request.Kind)
	h.Set(request.HeaderIdempotent, strconv.FormatBool(a.Request.Idempotent))
	if a.Request.Key != "" {
		h.Set(request.HeaderIdempotencyKey, a.Request.Key)
	}
	if a.Request.ContentType != "" {
		h.Set("Content-Type", a.Request.ContentType)
	}
	return req, nil
}

func (c *Client) read(resp *http.Response, a Attempt) (Response, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return Response{}, verdict.Wrap(fmt.Errorf("%w: %v", ErrInvalidResponse, cancelCause(resp.Request.Context(), err)), verdict.MayHaveRun, http.StatusBadGateway)
	}
	leaving := resp.Header.Get(request.HeaderLeaving) == "true"
	if err := checkIdentity(resp, a); err != nil {
		return Response{}, verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway)
	}
	if isRefusal(resp) {
		return Response{Leaving: leaving}, refusalError(resp.StatusCode, leaving)
	}
	if err := checkBody(resp, body); err != nil {
		return Response{}, verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway)
	}
	return Response{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
		Leaving:     leaving,
	}, nil
}

// isRefusal reports whether the worker states that it did not run the request. The verdict header counts only with a
// status that the worker API uses for rejections.
func isRefusal(resp *http.Response) bool {
	refused := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	return refused && resp.Header.Get(request.HeaderVerdict) == verdict.NotRun.String()
}

func refusalError(status int, leaving bool) error {
	if leaving {
		return verdict.Wrap(ErrLeaving, verdict.NotRun, status)
	}
	return verdict.Wrap(ErrNoFreeSlot, verdict.NotRun, status)
}

// checkIdentity compares the echoed request id and attempt, so that a swapped or late response, or the rejection of another
// request, is not attributed to this attempt.
func checkIdentity(resp *http.Response, a Attempt) error {
	if id := resp.Header.Get(request.HeaderRequestID); id != a.Request.ID {
		return fmt.Errorf("%w: response is for request %q", ErrInvalidResponse, id)
	}
	if id := resp.Header.Get(request.HeaderAttempt); id != a.ID {
		return fmt.Errorf("%w: response is for attempt %q", ErrInvalidResponse, id)
	}
	return nil
}

// checkBody compares the hash of the body, so that a truncated response is not accepted as complete.
func checkBody(resp *http.Response, body []byte) error {
	if len(body) > maxResponseBytes {
		return fmt.Errorf("%w: longer than %d bytes", ErrInvalidResponse, maxResponseBytes)
	}
	if hash := resp.Header.Get(request.HeaderBodyHash); hash != request.BodyHash(body) {
		return fmt.Errorf("%w: body hash is %q", ErrInvalidResponse, hash)
	}
	return nil
}

// cancelCause returns ErrUnresponsive if ctx was cancelled with it, else the transport's error.
func cancelCause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); errors.Is(c, ErrUnresponsive) {
		return c
	}
	return err
}

// Stop asks the worker to stop an attempt and returns nil once the worker confirms that the attempt is not running. The
// worker stops only the named attempt of the request.
func (c *Client) Stop(ctx context.Context, requestID, attempt string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+"/stop/"+url.PathEscape(requestID), nil)
	if err != nil {
		return err
	}
	req.Header.Set(request.HeaderAttempt, attempt)
	resp, err := c.fresh.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNotFound {
		return fmt.Errorf("stop of request %s: status %d", requestID, resp.StatusCode)
	}
	return nil
}

// Address returns the worker's IP:port.
func (c *Client) Address() string { return c.address }
