package command

import (
	"context"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"samphirepoint/engine"
	"samphirepoint/platform"
	"samphirepoint/status"
)

// explainCommand prints where a job would be placed, without submitting it.
type explainCommand struct {
	address, queue, workspace, jobFile, id string
	json                                   bool
}

func (*explainCommand) Name() string { return "explain" }
func (*explainCommand) Synopsis() string {
	return "explain where a job would be placed now, without submitting it"
}
func (*explainCommand) Usage() string {
	return `samphirepoint explain -queue QUEUE [-workspace NAME] [-job FILE] [-id ID] [-address IP:PORT] [-json]
  Prints the pool, the shard and its owner, the workspace's share and allotment, the job's place among the waiting work, the worker
  that the first task of each step would go to, and the expected wait or the reason of a refusal. Nothing is submitted or reserved.
  FILE is a job as callers submit it; without it the job is one task of 0.1 cores, 100 MB and an estimate of 100 ms. The ID of a job
  determines its shard; without -id the daemon chooses one at random.
  Any daemon answers, at the last port of its port_range. Without -address, the settings file that ` + platform.SettingsVariable + `
  names gives the address of the daemon on this machine.
  Exit status: 0 if the placement was explained, also that of a job that would be refused; 1 if the daemon doesn't answer or its
  configuration lacks the queue or the workspace; 2 for invalid arguments, job or settings.
  Example: samphirepoint explain -address 10.1.0.9:7075 -queue shift-close -workspace cooperative -job job.json
`
}

// SetFlags implements subcommands.Command.
func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", "", "`ADDRESS` of a daemon's status interface")
	f.StringVar(&c.queue, "queue", "", "`QUEUE` of the job")
	f.StringVar(&c.workspace, "workspace", "", "`NAME` of the workspace whose key the caller has")
	f.StringVar(&c.jobFile, "job", "", "`FILE` with a job as callers submit it")
	f.StringVar(&c.id, "id", "", "`ID` of the job: 16 hexadecimal digits")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (c *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return reportError(usageErrorf("unexpected argument %q", f.Arg(0)))
	}
	return reportError(c.run(ctx, os.Stdout))
}

func (c *explainCommand) run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	spec, err := c.spec()
	if err != nil {
		return err
	}
	address, err := daemonAddress("address", c.address)
	if err != nil {
		return err
	}
	p, err := status.NewClient(address, http.DefaultClient).Placement(ctx, spec)
	if err != nil {
		return err
	}
	return printValue(out, c.json, p, func(w io.Writer) { printPlacement(w, &p) })
}

// defaultJob is the job that is explained without -job.
const defaultJob = `{"steps":[{"count":1,"cpu":100,"mem_mb":100,"estimate_ms":100}]}`

// jobIDDigits is the length of a job's ID.
const jobIDDigits = 16

// spec returns the job to explain.
func (c *explainCommand) spec() (engine.Spec, error) {
	if c.queue == "" {
		return engine.Spec{}, usageErrorf("expected -queue QUEUE")
	}
	if _, err := hex.DecodeString(c.id); err != nil || c.id != "" && len(c.id) != jobIDDigits {
		return engine.Spec{}, usageErrorf("-id %q: expected %d hexadecimal digits", c.id, jobIDDigits)
	}
	data := []byte(defaultJob)
	if c.jobFile != "" {
		var err error
		if data, err = os.ReadFile(c.jobFile); err != nil {
			return engine.Spec{}, usageErrorf("%v", err)
		}
	}
	spec, err := platform.ParseJob(c.id, c.queue, data)
	if err != nil {
		return engine.Spec{}, usageErrorf("-job %s: %v", c.jobFile, err)
	}
	spec.Workspace = c.workspace
	return spec, nil
}

func printPlacement(w io.Writer, p *status.Placement) {
	rows := [][]string{
		{"job", describeID(p)},
		{"queue", describeQueue(p)},
		{"pool", describePool(p)},
		{"owner", describeOwner(p)},
		{"workspace", describeWorkspace(p)},
	}
	if p.Report == nil {
		rows = append(rows, []string{"result", "not known: " + describeRefusal(p.Unanswered)})
		printTable(w, rows)
		return
	}
	rows = append(rows, []string{"order", describeOrder(&p.Report.Order)}, []string{"result", describeResult(p.Report)})
	printTable(w, rows)
	fmt.Fprintln(w)
	steps := [][]string{{"STEP", "tasks", "each needs", "after steps", "worker", "rack", "obstacle"}}
	for _, s := range p.Report.Steps {
		steps = append(steps, tableRow(s.Step, s.Tasks, formatAmounts(s.Need), strings.Trim(fmt.Sprint(s.After), "[]"), s.Worker, s.Rack, s.Obstacle))
	}
	printTable(w, steps)
}

func describeID(p *status.Placement) string {
	switch {
	case p.IDChosen && p.Shards > 1:
		return p.ID + ", chosen at random; other IDs belong to other shards"
	case p.IDChosen:
		return p.ID + ", chosen at random"
	case p.Report != nil && p.Report.Exists:
		return p.ID + ", which the pool has already"
	}
	return p.ID
}

func describeQueue(p *status.Placement) string {
	if p.Report == nil {
		return fmt.Sprintf("%s, configuration %d", p.Queue, p.Version)
	}
	q := p.Report.Queue
	text := fmt.Sprintf("%s, priority %d, objective %g x critical path + %d ms, configuration %d", q.Name, q.Priority, q.Stretch, q.TargetMS, q.Version)
	if q.Advised {
		text += "; assumes that the adviser permits every worker"
	}
	return text
}

func describePool(p *status.Placement) string {
	switch {
	case p.Shards == 0:
		return p.Pool + ", whose number of shards is not known yet"
	case p.Shard == "":
		return p.Pool + ", undivided"
	}
	return fmt.Sprintf("%s, shard %s of %d", p.Pool, p.Shard, p.Shards)
}

func describeOwner(p *status.Placement) string {
	if p.Node == "" {
		return "none"
	}
	return fmt.Sprintf("%s, token %d", p.Node, p.Token)
}

func describeWorkspace(p *status.Placement) string {
	switch {
	case p.Public:
		return "none: the queue takes calls without a key"
	case p.Report == nil || p.Report.Workspace == nil:
		return "not known"
	case !p.Report.Workspace.Known:
		return p.Report.Workspace.Name + ", whose settings the owner doesn't know yet"
	}
	ws := p.Report.Workspace
	text := fmt.Sprintf("%s, priority %d, weight %g (%.1f %% of all), uses %s in the shard", ws.Name, ws.Priority, ws.Weight, 100*ws.Share, formatAmounts(ws.Used))
	switch {
	case !ws.Capped:
		return text + "; no cap"
	case ws.Allotment == nil:
		text += "; no allotment in the shard yet"
	default:
		text += " of " + formatLimit(*ws.Allotment)
	}
	if p.Cap != nil {
		text += "; cap on all workers: " + formatCap(*p.Cap)
	}
	return text
}

func describeOrder(o *engine.OrderReport) string {
	deadline := fmt.Sprintf("objective expires in %s", formatMS(o.DeadlineMS))
	if o.DeadlineMS < 0 {
		deadline = fmt.Sprintf("objective expired %s ago", formatMS(-o.DeadlineMS))
	}
	group := string(o.Group)
	if o.BeyondShare {
		group += ", workspace beyond its share"
	}
	return fmt.Sprintf("%s; %s, critical path %s; %d tasks of %d jobs go first", group, deadline, formatMS(o.CriticalPathMS), o.TasksAhead, o.JobsAhead)
}

func describeResult(r *engine.PlacementReport) string {
	switch {
	case r.Refusal != nil:
		return "refused: " + describeRefusal(r.Refusal)
	case r.WaitMS == nil:
		return "accepted; the wait is not known"
	case *r.WaitMS == 0:
		return "accepted; the first task starts at once"
	}
	return "accepted; the first task starts in about " + formatMS(*r.WaitMS)
}

func describeRefusal(r *engine.RefusalReport) string {
	if r.RetryAfterMS == 0 {
		return r.Reason
	}
	return fmt.Sprintf("%s; retry after %s", r.Reason, formatMS(r.RetryAfterMS))
}

func formatMS(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

func formatAmounts(a engine.Amounts) string {
	return fmt.Sprintf("%s cores, %d MB, %d GPUs", formatCores(a.CPU), a.MemMB, a.GPU)
}

// formatLimit formats an allotment, in which engine.Unlimited stands for no limit.
func formatLimit(a engine.Amounts) string {
	return formatLimits(a, func(n int64) bool { return n >= engine.Unlimited })
}

// formatCap formats a cap of the configuration, in which 0 stands for no limit.
func formatCap(a engine.Amounts) string {
	return formatLimits(a, func(n int64) bool { return n == 0 })
}

func formatLimits(a engine.Amounts, unlimited func(int64) bool) string {
	var parts []string
	for _, x := range []struct {
		amount     int64
		text, unit string
	}{{a.CPU, formatCores(a.CPU), "cores"}, {a.MemMB, fmt.Sprint(a.MemMB), "MB"}, {a.GPU, fmt.Sprint(a.GPU), "GPUs"}} {
		if unlimited(x.amount) {
			x.text = "any"
		}
		parts = append(parts, x.text+" "+x.unit)
	}
	return strings.Join(parts, ", ")
}
