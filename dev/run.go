package dev

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"samphirepoint/admin"
	"samphirepoint/checker"
	"samphirepoint/load"
	"samphirepoint/report"
	"samphirepoint/sleep"
	"samphirepoint/standin/workerd"
	"samphirepoint/table"
)

// propagationDelay lets the last table change reach all entries before the run ends.
const propagationDelay = 3 * time.Second

// Run starts a deployment, drives its workload, checks the properties and computes the measures.
func Run(ctx context.Context, o Options) (*Result, error) {
	c, err := Start(ctx, o)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	o = c.Options
	o.Progress("%d workers and %d entries are ready; submitting work for %s", len(c.Workers), len(c.Entries), o.Duration)
	o.Progress("long work may need a minute more to finish; interrupt to report early, twice to exit at once")
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go c.sampleVersions(watchCtx)
	go c.changeTable(watchCtx)
	go c.reportProgress(watchCtx)
	from := time.Now()
	result, err := c.runLoad(ctx)
	if err != nil {
		return nil, err
	}
	to := time.Now()
	o.Progress("all work is answered; checking the properties")
	if o.Changes > 0 {
		time.Sleep(propagationDelay)
	}
	stopWatch()
	return c.checkRun(result, from, to)
}

func (c *Cluster) runLoad(ctx context.Context) (*load.Result, error) {
	d, err := load.DeploymentByName(c.Options.Deployment)
	if err != nil {
		return nil, err
	}
	if c.Options.CompletionTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Options.Duration+c.Options.CompletionTimeout)
		defer cancel()
	}
	return load.Run(ctx, load.Options{
		Targets: c.Targets(), Deployment: d, Rate: c.Options.Rate, Duration: c.Options.Duration, Seed: c.Options.Seed, Tokens: c.Tokens, Network: c.Options.Network,
	})
}

// sampleVersions records periodically which table version each entry uses.
func (c *Cluster) sampleVersions(ctx context.Context) {
	ticker := time.NewTicker(versionSampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.mu.Lock()
		for _, e := range c.Entries {
			c.versions = append(c.versions, checker.VersionSample{Time: time.Now(), Entry: e.CallerAddress(), Version: e.ConfigVersion(), Serving: e.Ready()})
		}
		c.mu.Unlock()
	}
}

// changeTable accepts changes of a weight at even intervals during the run.
func (c *Cluster) changeTable(ctx context.Context) {
	for i := range c.Options.Changes {
		if sleep.Context(ctx, c.Options.Duration/time.Duration(c.Options.Changes+1)) != nil {
			return
		}
		if err := c.acceptWeightChange(ctx, i); err != nil {
			c.Options.Progress("table change %d failed: %v", i+1, err)
		}
	}
}

// acceptWeightChange raises the weight of a backer by 0.5 and accepts the draft.
func (c *Cluster) acceptWeightChange(ctx context.Context, i int) error {
	client := c.Admin()
	doc, err := client.Table(ctx)
	if err != nil {
		return err
	}
	b := doc.Backers[i%len(doc.Backers)]
	cell, err := table.ParseCell(b.Name + ".weight")
	if err != nil {
		return err
	}
	base := doc.Value(cell)
	draft, err := client.SetCells(ctx, []table.Edit{{Cell: cell, Value: strconv.FormatFloat(b.Weight+0.5, 'g', -1, 64), Base: base}})
	if err != nil {
		return err
	}
	reply, err := client.Accept(ctx, admin.AcceptBody{Operation: admin.NewOperation(), Reason: "change during the run", Draft: draft.Draft})
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepted = append(c.accepted, checker.Acceptance{Time: time.Now(), Version: reply.Version})
	return nil
}

// reportProgress reports the slots in use of each pool every 5 seconds.
func (c *Cluster) reportProgress(ctx context.Context) {
	started := time.Now()
	ticker := time.NewTicker(5 * time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.Options.Progress("after %s, slots in use: %s", time.Since(started).Round(time.Second), c.slotsInUse())
	}
}

// slotsInUse lists the used and total slots of each pool in the order of the table.
func (c *Cluster) slotsInUse() string {
	running, slots := map[string]int{}, map[string]int{}
	for i, w := range c.Workers {
		st := w.Status()
		running[c.initialWorkers[i].Pool] += len(st.Running)
		slots[c.initialWorkers[i].Pool] += st.Slots
	}
	var parts []string
	for _, p := range c.Document.Pools {
		parts = append(parts, fmt.Sprintf("%s %d/%d", p.Name, running[p.Name], slots[p.Name]))
	}
	return strings.Join(parts, ", ")
}

// checkRun collects the evidence and computes the checks and the measures.
func (c *Cluster) checkRun(r *load.Result, from, to time.Time) (*Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var journal []workerd.Event
	for _, w := range c.Workers {
		journal = append(journal, w.Journal(0)...)
	}
	pools, err := checker.PoolSamples(c.rowChanges)
	if err != nil {
		return nil, fmt.Errorf("history of instance rows: %w", err)
	}
	shares := map[string]checker.Share{}
	for _, b := range c.Document.Backers {
		shares[b.Name] = checker.Share{Weight: b.Weight, Limit: b.Limit()}
	}
	evidence := checker.Input{
		Journal: journal, Records: r.Records, Pools: pools, Budgets: c.poolBudgets(from), Shares: shares, Versions: c.versions, Accepted: c.accepted,
	}
	checks := checker.Check(evidence)
	measures := report.Measure(report.Input{
		Policy: c.policyName(), Deployment: c.Options.Deployment, Seed: c.Options.Seed, From: from, To: to, Workers: c.initialWorkers,
		SparePools: c.sparePools(), Journal: journal, Records: r.Records, Pools: pools, Versions: c.versions, Accepted: c.accepted,
	})
	return &Result{Measures: measures, Checks: checks, Summary: r.Summary(), Evidence: evidence}, nil
}

func (c *Cluster) policyName() string {
	p := c.Options.Policies
	return p.Queue + "/" + p.Placement + "/" + p.Shares + "/" + c.Options.Moves.Policy
}

func (c *Cluster) sparePools() []string {
	var names []string
	for _, p := range c.Document.Pools {
		if p.Spare {
			names = append(names, p.Name)
		}
	}
	return names
}

// poolBudgets returns the smallest availability budget of the backers for each pool.
func (c *Cluster) poolBudgets(from time.Time) []checker.Budget {
	var list []checker.Budget
	for _, p := range c.Document.Pools {
		smallest := -1
		for _, b := range c.Document.Backers {
			if smallest < 0 || b.MaxUnavailable < smallest {
				smallest = b.MaxUnavailable
			}
		}
		list = append(list, checker.Budget{Pool: p.Name, From: from, MaxUnavailable: smallest})
	}
	return list
}
