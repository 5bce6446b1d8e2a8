package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"

	"samphirepoint/platform"
	"samphirepoint/status"
)

// statusTimeout limits the calls of one command to a daemon.
const statusTimeout = 3 * time.Second

// statusCommand prints the fleet status that a daemon on the users' platform reports.
type statusCommand struct {
	at   string
	json bool
}

func (*statusCommand) Name() string { return "status" }
func (*statusCommand) Synopsis() string {
	return "show jobs, queues, pools, waves and owners on the users' platform"
}
func (*statusCommand) Usage() string {
	return `samphirepoint status [-at IP:PORT] [-json] jobs ID | queues | pools | waves | owners
  jobs ID   progress of each step of a job, workers of its runs, and reasons of pending tasks
  queues    jobs that have not started, by queue
  pools     workers, cores in use and pending, by pool
  waves     upkeep waves requested by operators
  owners    which daemon owns each pool, and the fencing token
  Any daemon answers, at the last port of its port_range. Without -at, the settings file that ` + platform.SettingsVariable + `
  names gives the address of the daemon on this machine. A page for a browser is at http://IP:PORT/status/.
  Exit status: 0 on success, 1 if the daemon doesn't answer or the job is unknown, 2 for invalid arguments or settings.
  Example: samphirepoint status -at 10.1.0.9:7075 jobs 5c0e7a21d94b36f8
`
}

// SetFlags implements subcommands.Command.
func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.at, "at", "", "`ADDRESS` of a daemon's status interface")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return reportError(c.run(ctx, f.Args(), os.Stdout))
}

// reportError prints an error of a command that asks a daemon, and returns the exit status.
func reportError(err error) subcommands.ExitStatus {
	var usage usageError
	switch {
	case err == nil:
		return subcommands.ExitSuccess
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, "samphirepoint:", err)
		return subcommands.ExitUsageError
	}
	fmt.Fprintln(os.Stderr, "samphirepoint:", err)
	return subcommands.ExitFailure
}

func (c *statusCommand) run(ctx context.Context, args []string, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	address, err := daemonAddress("at", c.at)
	if err != nil {
		return err
	}
	client := status.NewClient(address, http.DefaultClient)
	switch {
	case len(args) == 2 && args[0] == "jobs":
		job, err := client.Job(ctx, args[1])
		if err != nil {
			return err
		}
		return printValue(out, c.json, job, func(w io.Writer) { printJob(w, &job) })
	case len(args) != 1 || statusViews[args[0]] == nil:
		return usageErrorf("expected jobs ID, queues, pools, waves or owners, found %q", args)
	}
	o, err := client.Overview(ctx)
	if err != nil {
		return err
	}
	view := statusViews[args[0]]
	return printValue(out, c.json, view.value(&o), func(w io.Writer) { printTable(w, view.rows(&o)) })
}

// daemonAddress returns the address that the named flag has, or that of the daemon that the settings file configures.
func daemonAddress(flagName, value string) (string, error) {
	if value != "" {
		return value, nil
	}
	file := os.Getenv(platform.SettingsVariable)
	if file == "" {
		return "", usageErrorf("expected -%s IP:PORT, or a settings file named by %s", flagName, platform.SettingsVariable)
	}
	set, err := platform.LoadSettings(file)
	if err != nil {
		return "", usageErrorf("%v", err)
	}
	return set.MetricsAddress(), nil
}

// statusView is a section of the overview, as a value for JSON and as table rows.
type statusView struct {
	value func(*status.Overview) any
	rows  func(*status.Overview) [][]string
}

var statusViews = map[string]*statusView{
	"queues": {func(o *status.Overview) any { return o.Queues }, queueRows},
	"pools":  {func(o *status.Overview) any { return o.Pools }, poolRows},
	"waves":  {func(o *status.Overview) any { return o.Waves }, waveRows},
	"owners": {func(o *status.Overview) any { return o.Pools }, ownerRows},
}

func queueRows(o *status.Overview) [][]string {
	rows := [][]string{{"QUEUE", "pool", "priority", "waiting"}}
	for _, q := range o.Queues {
		waiting := fmt.Sprint(q.Waiting)
		if q.Waiting < 0 {
			waiting = "unknown"
		}
		rows = append(rows, tableRow(q.Name, q.Pool, q.Priority, waiting))
	}
	return rows
}

func poolRows(o *status.Overview) [][]string {
	rows := [][]string{{"POOL", "workers", "usable", "cordoned", "cores", "used", "pending", "jobs waiting in the pool", "error"}}
	for _, p := range o.Pools {
		rows = append(rows, tableRow(p.Name(), p.Workers, p.Usable, p.Cordoned, formatCores(p.CapacityCPU), formatCores(p.UsedCPU), formatCores(p.PendingCPU), o.Waiting(p.Pool), p.Error))
	}
	return rows
}

// formatCores formats a number of millicores as cores.
func formatCores(milli int64) string { return fmt.Sprintf("%.1f", float64(milli)/1000) }

func waveRows(o *status.Overview) [][]string {
	rows := [][]string{{"WAVE", "instances", "at once", "duration"}}
	for _, w := range o.Waves {
		rows = append(rows, tableRow(w.ID, len(w.Instances), w.Cap, w.Duration))
	}
	return rows
}

func ownerRows(o *status.Overview) [][]string {
	rows := [][]string{{"POOL", "owner", "token"}, tableRow("(fleet controller)", o.FleetController, "")}
	for _, p := range o.Pools {
		rows = append(rows, tableRow(p.Name(), p.Node, p.Token))
	}
	return rows
}

func printJob(w io.Writer, j *status.Job) {
	age := time.Duration(j.AgeMS) * time.Millisecond
	fmt.Fprintf(w, "job %s of queue %s in pool %s: %s, submitted %s ago\n", j.ID, j.Queue, j.Pool, j.State, age)
	rows := [][]string{{"OCCURRENCE.STEP", "tasks", "done", "waiting", "failures", "why"}}
	for _, s := range j.Steps {
		rows = append(rows, tableRow(fmt.Sprintf("%d.%d", s.Occurrence, s.Step), s.Tasks, s.Done, s.Waiting, s.Failures, s.WaitReason))
	}
	printTable(w, rows)
	runs := [][]string{{"TASK", "run", "worker", "phase", "percent"}}
	for _, s := range j.Steps {
		for _, r := range s.Runs {
			runs = append(runs, tableRow(r.Task, r.Run, r.Worker, r.Phase, r.Percent))
		}
	}
	if len(runs) > 1 {
		fmt.Fprintln(w)
		printTable(w, runs)
	}
}
