package forward

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"samphirepoint/dispatch"
	"samphirepoint/filter"
	"samphirepoint/request"
	"samphirepoint/sleep"
	"samphirepoint/verdict"
)

// exchange is one HTTP request to another entry and its response.
type exchange struct {
	client             *Client
	entryID, requestID string
	idempotent, attach bool
	// requestCtx is the context of the caller's request; cancel ends that of the exchange.
	requestCtx context.Context
	cancel     context.CancelCauseFunc
	body       *requestBody
	// gotConn is set once a connection is available, so that the request may have been sent.
	gotConn atomic.Bool
	result  *filter.Outstanding
	// silent is closed when the exchange is given up but stays outstanding.
	silent chan struct{}
}

func newExchange(c *Client, fc *filter.Context, entryID string, o filter.ForwardOptions, body *requestBody, cancel context.CancelCauseFunc) *exchange {
	return &exchange{
		client: c, entryID: entryID, requestID: fc.Request.ID, idempotent: fc.Request.Idempotent, attach: o.Attach,
		requestCtx: fc.Ctx, cancel: cancel, body: body,
		result: filter.NewOutstanding(func() { cancel(nil) }), silent: make(chan struct{}),
	}
}

// do runs the exchange and returns its result, or a SilentError if it is given up before.
func (e *exchange) do(req *http.Request) (*filter.Answer, error) {
	go func() {
		defer e.cancel(nil)
		e.result.Finish(e.run(req))
	}()
	watchCtx, stopWatch := context.WithCancel(req.Context())
	defer stopWatch()
	go e.watch(watchCtx)
	select {
	case <-e.result.Done():
		return e.result.Result()
	case <-e.silent:
		return nil, verdict.Wrap(&filter.SilentError{Forward: e.result}, verdict.MayHaveRun, http.StatusBadGateway)
	}
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

// errPeerUnresponsive is the cause of a forward that was cancelled because the other entry does not answer pings or no
// longer has the request.
var errPeerUnresponsive = errors.New("entry is unresponsive")

// watch gives the exchange up once the other entry has not answered pings for the time of patience, or once it answers but the
// request is no longer in flight there: then the answer was lost on a broken connection. A request whose body is still on its
// way is not in flight there yet. watch returns when ctx ends.
func (e *exchange) watch(ctx context.Context) {
	started := time.Now()
	lastSign, nextCheck := started, started.Add(2*pingAfter)
	for sleep.Context(ctx, pingAfter) == nil {
		answers := e.client.peers.Ping(ctx, e.entryID)
		if answers {
			lastSign = time.Now()
		} else if time.Since(lastSign) >= e.patience() {
			e.giveUp(false)
			return
		}
		if !e.body.taken() {
			nextCheck = time.Now().Add(2 * pingAfter)
		}
		if !answers || !time.Now().After(nextCheck) {
			continue
		}
		if inFlight, err := e.client.inFlight(ctx, e.entryID, e.requestID); err == nil && !inFlight {
			e.giveUp(true)
			return
		}
		nextCheck = time.Now().Add(min(time.Since(started)/2, maxCheckInterval))
	}
}

// patience returns the time without an answer to a ping after which the other entry counts as unresponsive.
func (e *exchange) patience() time.Duration {
	if e.attach {
		return attachPatience
	}
	return 0
}

// giveUp ends the exchange, or leaves it outstanding if its answer may still arrive and tell whether the request ran.
func (e *exchange) giveUp(answerLost bool) {
	if answerLost || e.idempotent || e.attach || !e.mayArrive() {
		e.cancel(errPeerUnresponsive)
		return
	}
	time.AfterFunc(maxPause, func() { e.cancel(errPeerUnresponsive) })
	close(e.silent)
}

// mayArrive reports whether the other entry may get the whole request, as far as known now.
func (e *exchange) mayArrive() bool { return e.gotConn.Load() && e.body.taken() }

// transportError returns the error of an exchange that failed in the transport. No part of the request is sent after that.
func (e *exchange) transportError(err error) error {
	sent := e.gotConn.Load() && e.body.seal()
	if cause := context.Cause(e.requestCtx); cause != nil {
		if errors.Is(cause, context.DeadlineExceeded) {
			cause = errors.New("deadline passed")
		}
		if sent {
			return verdict.Wrap(cause, verdict.MayHaveRun, http.StatusGatewayTimeout)
		}
		return verdict.Wrap(cause, verdict.NotRun, http.StatusGatewayTimeout)
	}
	if !sent || verdict.NeverSent(err) {
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
