package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"samphirepoint/admin"
	"samphirepoint/fleet"
	"samphirepoint/wave"
)

func newMaintenanceCommand() *fleetCommand {
	return newFleetCommand("maintenance", "plan and run maintenance waves",
		"Plans and runs waves that drain and reboot instances, one rack at a time in each pool and within\n  the backers' availability budgets.", []fleetAction{
			{"status", "[WAVE]", "print all waves, or one wave with its pending waits", "status w-17", nil, runMaintenanceStatus},
			{"plan", "", "plan one wave, or a 4-week cycle of waves", "plan -pools pumps,slips -dry-run", planFlags, runMaintenancePlan},
			{"start", "WAVE", "start a planned wave", "start w-17", nil, runWaveAction(fleet.ActionStart)},
			{"pause", "WAVE", "stop draining further instances; those in progress complete", "pause w-17", nil, runWaveAction(fleet.ActionPause)},
			{"resume", "WAVE", "resume a paused wave", "resume w-17", nil, runWaveAction(fleet.ActionResume)},
			{"cancel", "WAVE", "end a wave; draining instances return to service", "cancel w-17", nil, runWaveAction(fleet.ActionCancel)},
		})
}

func planFlags(f *flag.FlagSet, v *fleetFlags) {
	changeFlags(f, v)
	f.StringVar(&v.id, "id", "", "`NAME` of the wave")
	f.StringVar(&v.pools, "pools", "", "select `POOL[,POOL]`; default: the whole fleet")
	f.StringVar(&v.instances, "instances", "", "select `INSTANCE[,INSTANCE]`")
	f.StringVar(&v.zone, "zone", "", "select one availability `ZONE`")
	f.StringVar(&v.rack, "rack", "", "select one `RACK`")
	f.BoolVar(&v.rackAtOnce, "rack-at-once", false, "reboot all instances of a rack together, as required for work on its switch")
	f.StringVar(&v.drainTimeout, "drain-timeout", "", "`DURATION` after which idempotent tasks are checkpointed and requeued; default "+wave.DefaultDrainTimeout.String())
	f.StringVar(&v.length, "length", "", "`DURATION` from the start to the deadline; default "+wave.DefaultLength.String())
	f.StringVar(&v.notBefore, "not-before", "", "`TIME` (RFC 3339) at which the wave starts automatically")
	f.BoolVar(&v.cycle, "cycle", false, "plan one wave a day over 4 weeks for the whole fleet, starting at -not-before")
}

func runMaintenancePlan(ctx context.Context, r *fleetInvocation) error {
	if err := r.requireArgs(0, "no arguments"); err != nil {
		return err
	}
	v := r.flags
	body := admin.PlanBody{
		Operation: v.operation, ID: v.id, Reason: v.reason, DryRun: v.dryRun, Pools: splitList(v.pools), Instances: splitList(v.instances),
		Zone: v.zone, Rack: v.rack, RackAtOnce: v.rackAtOnce, DrainTimeout: v.drainTimeout, Length: v.length, Cycle: v.cycle,
	}
	if v.notBefore != "" {
		at, err := time.Parse(time.RFC3339, v.notBefore)
		if err != nil {
			return usageErrorf("-not-before %q: expected a time such as 2026-12-04T22:00:00Z", v.notBefore)
		}
		body.NotBefore = at
	}
	reply, err := r.client.Plan(ctx, body)
	if err != nil {
		return err
	}
	return r.print(reply, func(w io.Writer) { printPlan(w, reply) })
}

func printPlan(w io.Writer, p *admin.PlanReply) {
	if p.DryRun {
		fmt.Fprintln(w, "dry run: no changes made")
	}
	rows := [][]string{{"WAVE", "starts", "zone", "rack", "pool", "instances"}}
	for _, v := range p.Waves {
		starts := "on maintenance start"
		if !v.NotBefore.IsZero() {
			starts = formatTime(v.NotBefore)
		}
		for _, g := range v.Groups {
			rows = append(rows, tableRow(v.ID, starts, g.Zone, g.Rack, g.Pool, fmt.Sprint(g.Instances)))
		}
	}
	printTable(w, rows)
	printWaits(w, p.Blockers)
	for _, s := range p.Shortfalls {
		fmt.Fprintf(w, "pool %s in zone %s: only %d of %d instances can be planned: %s\n", s.Pool, s.Zone, s.Planned, s.Wanted, s.Reason)
	}
}

func runMaintenanceStatus(ctx context.Context, r *fleetInvocation) error {
	if len(r.args) > 1 {
		return usageErrorf("expected one wave at most, found %d", len(r.args))
	}
	if len(r.args) == 1 {
		reply, err := r.client.Wave(ctx, r.args[0])
		if err != nil {
			return err
		}
		return r.print(reply, func(w io.Writer) { printWave(w, reply) })
	}
	reply, err := r.client.Waves(ctx)
	if err != nil {
		return err
	}
	return r.print(reply, func(w io.Writer) { printWaves(w, reply.Waves) })
}

func printWaves(w io.Writer, waves []*wave.Wave) {
	rows := [][]string{{"WAVE", "status", "by", "maintained", "not maintained", "left", "deadline", "reason"}}
	for _, v := range waves {
		counts := v.Count()
		maintained, remaining := counts[wave.Maintained], counts[""]
		rows = append(rows, tableRow(v.ID, formatWaveStatus(v), v.By, maintained, len(v.Instances())-maintained-remaining, remaining, formatUntil(v.Deadline, time.Now()), v.Reason))
	}
	printTable(w, rows)
}

func formatWaveStatus(v *wave.Wave) string {
	switch {
	case v.Pause != nil:
		return fmt.Sprintf("%s: %s", v.Status, v.Pause.Reason)
	case v.Status == wave.Planned && !v.NotBefore.IsZero():
		return "planned for " + formatTime(v.NotBefore)
	}
	return string(v.Status)
}

func printWave(w io.Writer, r *admin.WaveReply) {
	printWaves(w, []*wave.Wave{r.Wave})
	rows := [][]string{{"INSTANCE", "zone", "rack", "pool", "result"}}
	states := map[string]string{}
	for _, in := range r.Instances {
		states[in.ID] = fmt.Sprintf("%s since %s", in.State, formatTime(in.Since))
	}
	for _, g := range r.Wave.Groups {
		for _, id := range g.Instances {
			result := string(r.Wave.Results[id])
			if result == "" {
				result = states[id]
			}
			rows = append(rows, tableRow(id, g.Zone, g.Rack, g.Pool, result))
		}
	}
	fmt.Fprintln(w)
	printTable(w, rows)
	if len(r.Wave.Waits) > 0 {
		fmt.Fprintln(w)
		printWaits(w, r.Wave.Waits)
	}
}

func runWaveAction(a fleet.WaveAction) func(context.Context, *fleetInvocation) error {
	return func(ctx context.Context, r *fleetInvocation) error {
		if err := r.requireArgs(1, "one wave"); err != nil {
			return err
		}
		reply, err := r.client.ChangeWave(ctx, r.args[0], a)
		if err != nil {
			return err
		}
		return r.print(reply, func(w io.Writer) { printWaves(w, []*wave.Wave{reply.Wave}) })
	}
}
