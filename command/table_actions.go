package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"samphirepoint/admin"
	"samphirepoint/table"
	"samphirepoint/verdict"
)

// tableActions lists the actions in the order of the help text.
var tableActions = []tableAction{
	{"show", "", "print the table in force, or the draft", "show -draft", draftFlag, tableShow},
	{"set", "CELL VALUE [CELL VALUE...]", "change cells of the draft", "set inzira.weight 3 pools/pumps.region gasabo", setFlags, tableSet},
	{"diff", "", "print the changes of the draft, their effect, and what blocks them", "diff", nil, tableDiff},
	{"accept", "", "put the draft in force", "accept -draft 12 -reason \"audit week\"", acceptFlags, tableAccept},
	{"discard", "", "remove the draft", "discard -draft 12", discardFlags, tableDiscard},
	{"history", "", "print who accepted what, when and why", "history -limit 5", historyFlags, tableHistory},
	{"export", "", "write the table as CSV", "export -o table.csv", exportFlags, tableExport},
	{"import", "FILE", "change the draft to a CSV file that was exported before; - reads standard input", "import table.csv", nil, tableImport},
	{"rollout", "", "print the version that each entry has", "rollout", nil, tableRollout},
}

func draftFlag(f *flag.FlagSet, v *tableFlags) {
	f.BoolVar(&v.draft, "draft", false, "take the draft in place of the table in force")
}

func setFlags(f *flag.FlagSet, v *tableFlags) {
	f.StringVar(&v.base, "base", "", "the `VALUE` that you saw in the (single) cell. Default: the value in force, or that of\n"+
		"your own earlier edit in the draft. A cell that another operator changed is refused\n"+
		"with the present value; repeat with that value as -base to replace it.\n"+
		"Cells are BACKER.COLUMN, pools/POOL.COLUMN and queues/QUEUE.COLUMN. Setting X.name to\n"+
		"X adds the row, setting it to \"\" deletes the row")
}

func acceptFlags(f *flag.FlagSet, v *tableFlags) {
	f.StringVar(&v.reason, "reason", "", "`TEXT` for the history (required)")
	f.Int64Var(&v.draftVersion, "draft", 0, "the `NUMBER` of the draft that you reviewed, from table diff; a draft that changed since is refused")
	f.StringVar(&v.operation, "operation", "", "operation `ID` of an earlier accept with an unknown outcome")
}

func discardFlags(f *flag.FlagSet, v *tableFlags) {
	f.Int64Var(&v.draftVersion, "draft", 0, "the `NUMBER` of the draft to remove, from table diff; a draft that changed since is kept")
}

func historyFlags(f *flag.FlagSet, v *tableFlags) {
	f.IntVar(&v.limit, "limit", 10, "`NUMBER` of versions")
	f.Int64Var(&v.before, "before", 0, "start below this `VERSION`")
}

func exportFlags(f *flag.FlagSet, v *tableFlags) {
	draftFlag(f, v)
	f.StringVar(&v.outputFile, "o", "", "write to `FILE` in place of standard output")
}

// noArgs refuses arguments of an action that takes none.
func (r *tableRun) noArgs() error {
	if len(r.args) > 0 {
		return usagef("unexpected argument %q", r.args[0])
	}
	return nil
}

// print writes v as JSON if asked for, and with text otherwise.
func (r *tableRun) print(v any, text func(io.Writer)) error {
	if r.flags.json {
		return printJSON(r.stdout, v)
	}
	text(r.stdout)
	return nil
}

func tableShow(ctx context.Context, r *tableRun) error {
	if err := r.noArgs(); err != nil {
		return err
	}
	if r.flags.draft {
		draft, err := r.client.Draft(ctx)
		if err != nil {
			return err
		}
		return r.print(draft, func(w io.Writer) { printDraft(w, draft) })
	}
	doc, err := r.client.Table(ctx)
	if err != nil {
		return err
	}
	return r.print(doc, func(w io.Writer) { printDocument(w, fmt.Sprintf("version %d", doc.Version), doc) })
}

func tableSet(ctx context.Context, r *tableRun) error {
	wanted, err := r.parsePairs()
	if err != nil {
		return err
	}
	draft, err := r.client.Draft(ctx)
	if err != nil {
		return err
	}
	edits := withBases(wanted, draft)
	if r.flags.baseGiven {
		edits[0].Base = r.flags.base
	}
	changed, err := r.client.SetCells(ctx, edits)
	if err != nil {
		return hintBase(err)
	}
	return r.print(changed, func(w io.Writer) { printDiff(w, changed) })
}

// hintBase tells how to replace the value of another operator on purpose.
func hintBase(err error) error {
	var refusal *admin.Error
	if errors.As(err, &refusal) && len(refusal.Body.Conflicts) == 1 {
		return fmt.Errorf("%w\nto replace that value, repeat with -base %q", err, refusal.Body.Conflicts[0].Current)
	}
	return err
}

// parsePairs reads CELL VALUE pairs.
func (r *tableRun) parsePairs() ([]table.Edit, error) {
	if len(r.args) == 0 || len(r.args)%2 != 0 {
		return nil, usagef("expected pairs of CELL VALUE after set")
	}
	if r.flags.baseGiven && len(r.args) != 2 {
		return nil, usagef("-base needs exactly one CELL VALUE")
	}
	var edits []table.Edit
	for i := 0; i < len(r.args); i += 2 {
		c, err := table.ParseCell(r.args[i])
		if err != nil {
			return nil, usageError{err}
		}
		edits = append(edits, table.Edit{Cell: c, Value: r.args[i+1]})
	}
	return edits, nil
}

// withBases adds the value that the operator is taken to know to each edit, and to a deletion the
// remaining cells of its row.
func withBases(wanted []table.Edit, draft *admin.DraftReply) []table.Edit {
	var edits []table.Edit
	for _, e := range wanted {
		expanded := []table.Edit{e}
		if e.Column == table.ColumnName && e.Value == "" && draft.Document != nil {
			expanded = draft.Document.DeleteRowEdits(e.Row)
		}
		for _, e := range expanded {
			e.Base = knownValue(e.Cell, draft)
			edits = append(edits, e)
		}
	}
	return edits
}

// knownValue is the value in force, or the operator's own one in the draft. The value of another
// operator's draft edit is left for the entry to report as a conflict.
func knownValue(c table.Cell, draft *admin.DraftReply) string {
	for _, conflict := range draft.Conflicts {
		if conflict.Cell == c {
			return conflict.Current
		}
	}
	for _, change := range draft.Changes {
		if change.Cell == c {
			if change.Operator == draft.Operator {
				return change.After
			}
			return change.Before
		}
	}
	if draft.Document == nil {
		return ""
	}
	return draft.Document.Value(c)
}

func tableDiff(ctx context.Context, r *tableRun) error {
	if err := r.noArgs(); err != nil {
		return err
	}
	draft, err := r.client.Diff(ctx)
	if err != nil {
		return err
	}
	return r.print(draft, func(w io.Writer) { printDiff(w, draft) })
}

func tableAccept(ctx context.Context, r *tableRun) error {
	if err := r.noArgs(); err != nil {
		return err
	}
	if r.flags.reason == "" {
		return usagef("-reason is missing")
	}
	body := admin.AcceptBody{Operation: r.flags.operation, Reason: r.flags.reason, Draft: r.flags.draftVersion}
	if body.Operation == "" {
		body.Operation = admin.NewOperation()
	}
	reply, err := r.client.Accept(ctx, body)
	if err != nil && !verdict.Is(err, verdict.NotRun) {
		return fmt.Errorf("%w\nto learn the outcome, repeat the command with -operation %s", err, body.Operation)
	}
	if err != nil {
		return err
	}
	return r.print(reply, func(w io.Writer) { fmt.Fprintln(w, reply.Message) })
}

func tableDiscard(ctx context.Context, r *tableRun) error {
	if err := r.noArgs(); err != nil {
		return err
	}
	draft, err := r.client.Diff(ctx)
	if err != nil {
		return err
	}
	seen := table.DraftRef{Draft: draft.Draft, Base: draft.Base}
	if r.flags.draftVersion != 0 {
		seen.Draft = r.flags.draftVersion
	}
	if err := r.client.Discard(ctx, seen); err != nil {
		return err
	}
	return r.print(struct{}{}, func(w io.Writer) { fmt.Fprintf(w, "draft %d discarded\n", seen.Draft) })
}

func tableHistory(ctx context.Context, r *tableRun) error {
	if err := r.noArgs(); err != nil {
		return err
	}
	records, err := r.client.History(ctx, r.flags.before, r.flags.limit)
	if err != nil {
		return err
	}
	return r.print(records, func(w io.Writer) { printHistory(w, records) })
}

func tableExport(ctx context.Context, r *tableRun) error {
	if err := r.noArgs(); err != nil {
		return err
	}
	if r.flags.json {
		return usagef("export writes CSV; use show -json for JSON")
	}
	data, err := r.client.ExportCSV(ctx, r.flags.draft)
	if err != nil {
		return err
	}
	if r.flags.outputFile != "" {
		return os.WriteFile(r.flags.outputFile, data, 0o644)
	}
	_, err = r.stdout.Write(data)
	return err
}

func tableImport(ctx context.Context, r *tableRun) error {
	if len(r.args) != 1 {
		return usagef("expected one FILE after import")
	}
	data, err := r.readFile(r.args[0])
	if err != nil {
		return usageError{err}
	}
	draft, err := r.client.ImportCSV(ctx, data)
	if err != nil {
		return err
	}
	return r.print(draft, func(w io.Writer) { printDiff(w, draft) })
}

func (r *tableRun) readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(r.stdin)
	}
	return os.ReadFile(name)
}

func tableRollout(ctx context.Context, r *tableRun) error {
	if err := r.noArgs(); err != nil {
		return err
	}
	reply, err := r.client.Rollout(ctx)
	if err != nil {
		return err
	}
	return r.print(reply, func(w io.Writer) { printRollout(w, reply) })
}
