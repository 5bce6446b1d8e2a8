// Package worker is the client of backend servers. It classifies each failed attempt by
// what can be known about the execution of the request, and checks that an answer is whole and
// belongs to the attempt that asked for it.
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
	// connectionsPerWorker is one per slot: with 8 entries a worker's 64 connections suffice.
	connectionsPerWorker = 8
	// dialTimeout bounds connection setup; zones are 0.5 ms apart, regions some 10 ms.
	dialTimeout = time.Second
	// idleTimeout closes connections before a middlebox is likely to forget them.
	idleTimeout = 30 * time.Second
	// maxAnswerBytes bounds an answer that is held in memory.
	maxAnswerBytes = 8 << 20
)

// ErrInvalidResponse reports an answer that is truncated, altered or of another attempt.
var ErrInvalidResponse = errors.New("answer is not whole or not of this request")

// ErrLeaving reports a refusal by a worker that is leaving.
var ErrLeaving = errors.New("worker is leaving")

// ErrNoFreeSlot reports a refusal by a worker without a free slot.
var ErrNoFreeSlot = errors.New("worker has no free slot")

// Attempt is one dispatch of a request to a worker.
type Attempt struct {
	Request *request.Request
	// ID is unique among all attempts of all entries, so that an answer is matched to its attempt.
	ID string
	// Worker is the id of the worker that is meant, so that another one that has taken over its address refuses the
	// request. Empty leaves it out.
	Worker string
	// FreshConnection forbids pooled connections, since one of them may have gone silent. Non-idempotent
	// work demands it. It costs a round trip, 0.5 ms between zones.
	FreshConnection bool
	// Expected is the run time that most requests of this kind stay below; 0 means unknown. An
	// attempt that takes much longer is checked with the worker.
	Expected time.Duration
}

// Response is a whole answer of a worker.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// Leaving is set if the worker said that it stops taking new work.
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

// NewClientOn is NewClient on a network; nil is that of the machine.
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

// Suspect closes all idle connections after one of them went silent.
func (c *Client) Suspect() { c.pool.CloseIdleConnections() }

// Run sends the attempt and returns the worker's answer. The error carries the verdict: NotRun only if
// no byte of the request was written or the worker itself said so.
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
		return Response{}, verdict.Wrap(cause(ctx, err), verdict.MayHaveRun, http.StatusBadGateway)
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
	// net/http repeats a request on a broken idle connection if it can rewind the body or if the body is empty and
	// the request has an Idempotency-Key. The decision to send again is ours, since the first copy may
	// have run, so the body must not be one that net/http knows.
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return Response{}, verdict.Wrap(fmt.Errorf("%w: %v", ErrInvalidResponse, cause(resp.Request.Context(), err)), verdict.MayHaveRun, http.StatusBadGateway)
	}
	leaving := resp.Header.Get(request.HeaderLeaving) == "true"
	if err := checkIdentity(resp, a); err != nil {
		return Response{}, verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway)
	}
	if isRefusal(resp) {
		return Response{Leaving: leaving}, refusal(resp.StatusCode, leaving)
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

// isRefusal reports whether the worker says that it did not run the request. The verdict counts only with a
// status of the worker API that means a refusal.
func isRefusal(resp *http.Response) bool {
	refused := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	return refused && resp.Header.Get(request.HeaderVerdict) == verdict.NotRun.String()
}

func refusal(status int, leaving bool) error {
	if leaving {
		return verdict.Wrap(ErrLeaving, verdict.NotRun, status)
	}
	return verdict.Wrap(ErrNoFreeSlot, verdict.NotRun, status)
}

// checkIdentity compares the echo of request id and attempt, so that a swapped or late answer, or the
// refusal of another request, is not taken for this one's.
func checkIdentity(resp *http.Response, a Attempt) error {
	if id := resp.Header.Get(request.HeaderRequestID); id != a.Request.ID {
		return fmt.Errorf("%w: answer is for request %q", ErrInvalidResponse, id)
	}
	if id := resp.Header.Get(request.HeaderAttempt); id != a.ID {
		return fmt.Errorf("%w: answer is for attempt %q", ErrInvalidResponse, id)
	}
	return nil
}

// checkBody compares the hash of the body, so that a truncated answer is not taken for a whole one.
func checkBody(resp *http.Response, body []byte) error {
	if len(body) > maxAnswerBytes {
		return fmt.Errorf("%w: longer than %d bytes", ErrInvalidResponse, maxAnswerBytes)
	}
	if hash := resp.Header.Get(request.HeaderBodyHash); hash != request.BodyHash(body) {
		return fmt.Errorf("%w: body hash is %q", ErrInvalidResponse, hash)
	}
	return nil
}

// cause prefers the reason for which ctx was cancelled over the transport's error.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); errors.Is(c, ErrUnresponsive) {
		return c
	}
	return err
}

// Stop asks the worker to stop an attempt and returns nil once the worker confirms that it does
// not run. The worker stops only the named attempt of the request.
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

// Address is the worker's IP:port.
func (c *Client) Address() string { return c.address }
