package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"samphirepoint/admin"
	"samphirepoint/fleet"
	"samphirepoint/table"
	"samphirepoint/wave"
)

func newPoolCommand() *fleetCommand {
	return newFleetCommand("pool", "show pools and move instances between them",
		"Shows pools, their budgets and moves. A move drains the instance in its current pool, within the\n  pool's availability budget, and then returns it to service in the target pool.", []fleetAction{
			{"list", "[POOL]", "print all pools, or one pool with its instances", "list pumps", nil, runPoolList},
			{"move", "INSTANCE...", "move instances to a pool", "move w17 w18 -to pumps -dry-run", moveFlags, runPoolMove},
			{"grow", "POOL", "move instances from the spare pool to the pool", "grow pumps -n 2 -reason \"audit week\"", growFlags, runPoolGrow},
			{"shrink", "POOL", "move instances from the pool to the spare pool", "shrink pumps -n 1", shrinkFlags, runPoolShrink},
			{"moves", "", "print moves and their pending waits", "moves", nil, runPoolMoves},
			{"cancel", "MOVE", "cancel a move that has not ended", "cancel op7-1", nil, runPoolCancel},
			{"create", "POOL", "add a pool to the draft of the table; table accept activates it", "create audits -region gasabo", createFlags, runPoolCreate},
		})
}

func moveFlags(f *flag.FlagSet, v *fleetFlags) {
	changeFlags(f, v)
	f.StringVar(&v.targetPool, "to", "", "target `POOL` of the move (required)")
}

func growFlags(f *flag.FlagSet, v *fleetFlags) {
	changeFlags(f, v)
	f.IntVar(&v.count, "n", 1, "`NUMBER` of instances")
	f.StringVar(&v.sourcePool, "from", "", "source `POOL`; default: the first spare pool")
}

func shrinkFlags(f *flag.FlagSet, v *fleetFlags) {
	changeFlags(f, v)
	f.IntVar(&v.count, "n", 1, "`NUMBER` of instances")
	f.StringVar(&v.targetPool, "to", "", "target `POOL`; default: the first spare pool")
}

func createFlags(f *flag.FlagSet, v *fleetFlags) {
	f.BoolVar(&v.dryRun, "dry-run", false, "print the edits without making them")
	f.StringVar(&v.region, "region", "", "preferred `REGION` of the entry that owns the pool")
	f.BoolVar(&v.spare, "spare", false, "keep the pool's instances as spare capacity for other pools")
}

func runPoolList(ctx context.Context, r *fleetInvocation) error {
	if len(r.args) > 1 {
		return usageErrorf("expected one pool at most, found %d", len(r.args))
	}
	if len(r.args) == 1 {
		p, err := r.client.Pool(ctx, r.args[0])
		if err != nil {
			return err
		}
		return r.print(p, func(w io.Writer) { printPool(w, p) })
	}
	reply, err := r.client.Pools(ctx)
	if err != nil {
		return err
	}
	return r.print(reply, func(w io.Writer) { printPools(w, reply.Pools) })
}

func printPools(w io.Writer, pools []admin.Pool) {
	rows := [][]string{{"POOL", "region", "spare", "instances", "serving", "slots", "out", "budget", "backer", "queues"}}
	for _, p := range pools {
		rows = append(rows, tableRow(p.Name, p.Region, p.Spare, p.Instances, p.Serving, p.Slots, len(p.Unavailable), formatBudget(p), p.Backer, strings.Join(p.Queues, " ")))
	}
	printTable(w, rows)
}

func formatBudget(p admin.Pool) string {
	if p.Budget < 0 {
		return "none"
	}
	return fmt.Sprint(p.Budget)
}

func printPool(w io.Writer, p *admin.Pool) {
	printPools(w, []admin.Pool{*p})
	rows := [][]string{{"INSTANCE", "state", "since", "zone", "rack", "address", "slots", "wave", "moves to", "maintained"}}
	for _, in := range p.Members {
		rows = append(rows, tableRow(in.ID, in.State, formatTime(in.Since), in.Zone, in.Rack, in.Address, in.Slots, in.Wave, in.TargetPool, formatTime(in.Maintained)))
	}
	fmt.Fprintln(w)
	printTable(w, rows)
}

func (r *fleetInvocation) moveBody() admin.MoveBody {
	return admin.MoveBody{Operation: r.flags.operation, Reason: r.flags.reason, DryRun: r.flags.dryRun, Count: r.flags.count}
}

func runPoolMove(ctx context.Context, r *fleetInvocation) error {
	if len(r.args) == 0 || r.flags.targetPool == "" {
		return usageErrorf("expected INSTANCE... -to POOL")
	}
	body := r.moveBody()
	body.Instances = r.args
	return r.requestMoves(ctx, r.flags.targetPool, "move", body)
}

func runPoolGrow(ctx context.Context, r *fleetInvocation) error {
	if err := r.requireArgs(1, "one pool"); err != nil {
		return err
	}
	body := r.moveBody()
	body.OtherPool = r.flags.sourcePool
	return r.requestMoves(ctx, r.args[0], "grow", body)
}

func runPoolShrink(ctx context.Context, r *fleetInvocation) error {
	if err := r.requireArgs(1, "one pool"); err != nil {
		return err
	}
	body := r.moveBody()
	body.OtherPool = r.flags.targetPool
	return r.requestMoves(ctx, r.args[0], "shrink", body)
}

func (r *fleetInvocation) requestMoves(ctx context.Context, pool, route string, body admin.MoveBody) error {
	reply, err := r.client.Move(ctx, pool, route, body)
	if err != nil {
		return err
	}
	return r.print(reply, func(w io.Writer) {
		if reply.DryRun {
			fmt.Fprintln(w, "dry run: no changes made")
		}
		printMoves(w, reply.Moves)
		for _, warning := range reply.Warnings {
			fmt.Fprintln(w, "warning:", warning)
		}
	})
}

func printMoves(w io.Writer, moves []*fleet.Move) {
	rows := [][]string{{"MOVE", "instance", "from", "to", "status", "by", "created", "reason"}}
	for _, m := range moves {
		rows = append(rows, tableRow(m.ID, m.Instance, m.From, m.To, m.Status, m.By, formatTime(m.Created), m.Reason))
	}
	printTable(w, rows)
	for _, m := range moves {
		if m.Note != "" {
			fmt.Fprintf(w, "move %s: %s\n", m.ID, m.Note)
		}
		printWaits(w, m.Waits)
	}
}

func printWaits(w io.Writer, waits []wave.Wait) {
	printed := map[string]bool{}
	for _, wait := range waits {
		// Several instances of a wave may wait for the same budget; print the wait once.
		if line := wait.String(); !printed[line] {
			printed[line] = true
			fmt.Fprintln(w, line)
		}
	}
}

func runPoolMoves(ctx context.Context, r *fleetInvocation) error {
	if err := r.requireArgs(0, "no arguments"); err != nil {
		return err
	}
	reply, err := r.client.Moves(ctx)
	if err != nil {
		return err
	}
	return r.print(reply, func(w io.Writer) { printMoves(w, reply.Moves) })
}

func runPoolCancel(ctx context.Context, r *fleetInvocation) error {
	if err := r.requireArgs(1, "one move"); err != nil {
		return err
	}
	m, err := r.client.CancelMove(ctx, r.args[0])
	if err != nil {
		return err
	}
	return r.print(m, func(w io.Writer) { printMoves(w, []*fleet.Move{m}) })
}

// runPoolCreate adds a pool to the draft of the table, which defines the pools.
func runPoolCreate(ctx context.Context, r *fleetInvocation) error {
	if err := r.requireArgs(1, "one pool"); err != nil {
		return err
	}
	name := r.args[0]
	edits := poolEdits(name, r.flags.region, r.flags.spare)
	if r.flags.dryRun {
		return r.print(edits, func(w io.Writer) {
			rows := [][]string{{"CELL", "value"}}
			for _, e := range edits {
				rows = append(rows, tableRow(e.Cell, e.Value))
			}
			printTable(w, rows)
		})
	}
	draft, err := r.tableClient.SetCells(ctx, edits)
	if err != nil {
		return err
	}
	return r.print(draft, func(w io.Writer) {
		printDiff(w, draft)
		fmt.Fprintf(w, "\nnext: samphirepoint table accept -draft %d -reason TEXT, then samphirepoint pool grow %s -n NUMBER\n", draft.Draft, name)
	})
}

// poolEdits returns the table edits that create a pool.
func poolEdits(name, region string, spare bool) []table.Edit {
	row := "pools/" + name
	edits := []table.Edit{{Cell: table.Cell{Row: row, Column: "name"}, Value: name}}
	if region != "" {
		edits = append(edits, table.Edit{Cell: table.Cell{Row: row, Column: "region"}, Value: region})
	}
	if spare {
		edits = append(edits, table.Edit{Cell: table.Cell{Row: row, Column: "spare"}, Value: "true"})
	}
	return edits
}

// formatUntil formats a future time relative to now, and a past time as a timestamp.
func formatUntil(t, now time.Time) string {
	switch {
	case t.IsZero():
		return ""
	case t.After(now):
		return "in " + t.Sub(now).Round(time.Second).String()
	}
	return formatTime(t)
}
