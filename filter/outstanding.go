package filter

import (
	"context"
	"errors"
	"net/http"

	"samphirepoint/verdict"
)

// Outstanding is a forward whose answer may still arrive although its sender has given the other entry up as silent. Its
// answer settles whether the submission ran, which later submissions cannot tell.
type Outstanding struct {
	done   chan struct{}
	cancel context.CancelFunc
	answer *Answer
	err    error
}

// NewOutstanding returns a forward without a result. cancel ends it early.
func NewOutstanding(cancel context.CancelFunc) *Outstanding {
	return &Outstanding{done: make(chan struct{}), cancel: cancel}
}

// Finish sets the result and must be called once.
func (o *Outstanding) Finish(answer *Answer, err error) {
	o.answer, o.err = answer, err
	close(o.done)
}

// Done is closed when the result is set.
func (o *Outstanding) Done() <-chan struct{} { return o.done }

// Result returns the result after Done is closed.
func (o *Outstanding) Result() (*Answer, error) { return o.answer, o.err }

// SilentError reports that another entry did not answer in time, while the forward to it goes on. It wraps ErrUnreachable.
type SilentError struct{ Forward *Outstanding }

// Error implements error.
func (*SilentError) Error() string { return ErrUnreachable.Error() + ": entry is unresponsive" }

// Unwrap returns ErrUnreachable.
func (*SilentError) Unwrap() error { return ErrUnreachable }

// errStillSilent is the result of a forward whose answer had not arrived when the request's context ended.
var errStillSilent = verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, "no answer from an entry that the request was forwarded to")

// await records a forward that goes on after it was given up, until the request ends.
func (c *Context) await(o *Outstanding) {
	c.outstanding = append(c.outstanding, o)
	c.OnEnd(o.cancel)
}

// settle waits for the answers of outstanding forwards if the request was rejected as not run later, because only these
// answers tell whether it ran. If the request ran, that answer becomes the answer to the request.
func (c *Context) settle() {
	for _, o := range c.outstanding {
		if c.Uncertain || !verdict.Is(c.Err, verdict.NotRun) {
			return
		}
		answer, err := (*Answer)(nil), errStillSilent
		select {
		case <-o.Done():
			answer, err = o.Result()
		case <-c.Ctx.Done():
		}
		if err == nil || verdict.Is(err, verdict.Ran) {
			c.Answer, c.Err = answer, err
			return
		}
		c.markUncertain(err)
	}
}

// forward sends the request to another entry. Meanwhile the request in flight here is marked as forwarded.
func (c *Context) forward(f Forwarder, to Target, o ForwardOptions) (*Answer, error) {
	end := c.inFlight.markForwarded()
	answer, err := f.Forward(c, to, o)
	var silent *SilentError
	if !errors.As(err, &silent) {
		end()
		return answer, err
	}
	c.await(silent.Forward)
	go func() {
		<-silent.Forward.Done()
		end()
	}()
	return nil, err
}
