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
		"Shows pools, their budgets and moves. A move drains the instance in its old pool, within the\n  pool's availability budget, and then puts it into service in the new one.", []fleetAction{
			{"list", "[POOL]", "print all pools, or one with its instances", "list pumps", nil, poolList},
			{"move", "INSTANCE...", "move instances into a pool", "move w17 w18 -to pumps -dry-run", moveFlags, poolMove},
			{"grow", "POOL", "move instances from the spare pool into the pool", "grow pumps -n 2 -reason \"audit week\"", growFlags, poolGrow},
			{"shrink", "POOL", "move instances from the pool into the spare pool", "shrink pumps -n 1", shrinkFlags, poolShrink},
			{"moves", "", "print moves and what they wait for", "moves", nil, poolMoves},
			{"cancel", "MOVE", "cancel a move that has not ended", "cancel op7-1", nil, poolCancel},
			{"create", "POOL", "add a pool to the draft of the table; table accept puts it in force", "create audits -region gasabo", createFlags, poolCreate},
		})
}

func moveFlags(f *flag.FlagSet, v *fleetFlags) {
	changeFlags(f, v)
	f.StringVar(&v.to, "to", "", "`POOL` to move the instances into (required)")
}

func growFlags(f *flag.FlagSet, v *fleetFlags) {
	changeFlags(f, v)
	f.IntVar(&v.count, "n", 1, "`NUMBER` of instances")
	f.StringVar(&v.from, "from", "", "`POOL` to take the instances from; default: the first spare pool")
}

func shrinkFlags(f *flag.FlagSet, v *fleetFlags) {
	changeFlags(f, v)
	f.IntVar(&v.count, "n", 1, "`NUMBER` of instances")
	f.StringVar(&v.to, "to", "", "`POOL` to send the instances to; default: the first spare pool")
}

func createFlags(f *flag.FlagSet, v *fleetFlags) {
	f.BoolVar(&v.dryRun, "dry-run", false, "show the edits, and change nothing")
	f.StringVar(&v.region, "region", "", "`REGION` preferred for the entry that owns the pool")
	f.BoolVar(&v.spare, "spare", false, "hold the pool's instances as buffer for other pools")
}

func poolList(ctx context.Context, r *fleetRun) error {
	if len(r.args) > 1 {
		return usagef("expected one pool at most, found %d", len(r.args))
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
		rows = append(rows, text(p.Name, p.Region, p.Spare, p.Instances, p.Serving, p.Slots, len(p.Unavailable), budgetText(p), p.Backer, strings.Join(p.Queues, " ")))
	}
	printTable(w, rows)
}

func budgetText(p admin.Pool) string {
	if p.Budget < 0 {
		return "none"
	}
	return fmt.Sprint(p.Budget)
}

func printPool(w io.Writer, p *admin.Pool) {
	printPools(w, []admin.Pool{*p})
	rows := [][]string{{"INSTANCE", "state", "since", "zone", "rack", "address", "slots", "wave", "moves to", "maintained"}}
	for _, in := range p.Members {
		rows = append(rows, text(in.ID, in.State, when(in.Since), in.Zone, in.Rack, in.Address, in.Slots, in.Wave, in.TargetPool, when(in.Maintained)))
	}
	fmt.Fprintln(w)
	printTable(w, rows)
}

func (r *fleetRun) moveBody() admin.MoveBody {
	return admin.MoveBody{Operation: r.flags.operation, Reason: r.flags.reason, DryRun: r.flags.dryRun, Count: r.flags.count}
}

func poolMove(ctx context.Context, r *fleetRun) error {
	if len(r.args) == 0 || r.flags.to == "" {
		return usagef("expected INSTANCE... -to POOL")
	}
	body := r.moveBody()
	body.Instances = r.args
	return r.askForMoves(ctx, r.flags.to, "move", body)
}

func poolGrow(ctx context.Context, r *fleetRun) error {
	if err := r.exactly(1, "one pool"); err != nil {
		return err
	}
	body := r.moveBody()
	body.Other = r.flags.from
	return r.askForMoves(ctx, r.args[0], "grow", body)
}

func poolShrink(ctx context.Context, r *fleetRun) error {
	if err := r.exactly(1, "one pool"); err != nil {
		return err
	}
	body := r.moveBody()
	body.Other = r.flags.to
	return r.askForMoves(ctx, r.args[0], "shrink", body)
}

func (r *fleetRun) askForMoves(ctx context.Context, pool, route string, body admin.MoveBody) error {
	reply, err := r.client.Move(ctx, pool, route, body)
	if err != nil {
		return err
	}
	return r.print(reply, func(w io.Writer) {
		if reply.DryRun {
			fmt.Fprintln(w, "dry run: nothing is changed")
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
		rows = append(rows, text(m.ID, m.Instance, m.From, m.To, m.Status, m.By, when(m.Created), m.Reason))
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
	seen := map[string]bool{}
	for _, wait := range waits {
		// Several instances of a wave wait for the same budget.
		if line := wait.String(); !seen[line] {
			seen[line] = true
			fmt.Fprintln(w, line)
		}
	}
}

func poolMoves(ctx context.Context, r *fleetRun) error {
	if err := r.exactly(0, "no arguments"); err != nil {
		return err
	}
	reply, err := r.client.Moves(ctx)
	if err != nil {
		return err
	}
	return r.print(reply, func(w io.Writer) { printMoves(w, reply.Moves) })
}

func poolCancel(ctx context.Context, r *fleetRun) error {
	if err := r.exactly(1, "one move"); err != nil {
		return err
	}
	m, err := r.client.CancelMove(ctx, r.args[0])
	if err != nil {
		return err
	}
	return r.print(m, func(w io.Writer) { printMoves(w, []*fleet.Move{m}) })
}

// poolCreate edits the draft of the table, which holds the pools.
func poolCreate(ctx context.Context, r *fleetRun) error {
	if err := r.exactly(1, "one pool"); err != nil {
		return err
	}
	name := r.args[0]
	edits := poolEdits(name, r.flags.region, r.flags.spare)
	if r.flags.dryRun {
		return r.print(edits, func(w io.Writer) {
			rows := [][]string{{"CELL", "value"}}
			for _, e := range edits {
				rows = append(rows, text(e.Cell, e.Value))
			}
			printTable(w, rows)
		})
	}
	draft, err := r.tables.SetCells(ctx, edits)
	if err != nil {
		return err
	}
	return r.print(draft, func(w io.Writer) {
		printDiff(w, draft)
		fmt.Fprintf(w, "\nnext: samphirepoint table accept -draft %d -reason TEXT, then samphirepoint pool grow %s -n NUMBER\n", draft.Draft, name)
	})
}

// poolEdits returns the cells of a new pool.
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

// untilText describes a time relative to now.
func untilText(t, now time.Time) string {
	switch {
	case t.IsZero():
		return ""
	case t.After(now):
		return "in " + t.Sub(now).Round(time.Second).String()
	}
	return when(t)
}
