package filter

import (
	"context"

	"samphirepoint/job"
)

// AcceptJob is the last filter of a job submission: it writes the job's row and notifies the pool's owner.
type AcceptJob struct {
	Store  *job.Store
	Notify func(ctx context.Context, rec *job.Record)
}

// Name implements Filter.
func (AcceptJob) Name() string { return "accept" }

// Request implements Filter.
func (f AcceptJob) Request(c *Context) error {
	rec, replayed, err := f.Store.Accept(c.Ctx, c.Request)
	if err != nil {
		return err
	}
	c.Log.Info().Str("job", rec.ID).Str("pool", rec.Pool).Bool("replayed", replayed).Msg("job accepted")
	if !replayed {
		f.Notify(c.Ctx, rec)
	}
	c.Job = rec
	c.Answer = &Answer{Replayed: replayed}
	return nil
}

// Response implements Filter.
func (AcceptJob) Response(*Context) {}
