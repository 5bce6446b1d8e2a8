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
	{"show", "", "print the table in force, or the draft", "show -draft", draftFlag, runTableShow},
	{"set", "CELL VALUE [CELL VALUE...]", "change cells of the draft", "set inzira.weight 3 pools/pumps.region gasabo", setFlags, runTableSet},
	{"diff", "", "print the changes of the draft, their effects, and what prevents accepting them", "diff", nil, runTableDiff},
	{"accept", "", "make the draft the version in force", "accept -draft 12 -reason \"audit week\"", acceptFlags, runTableAccept},
	{"discard", "", "discard the draft", "discard -draft 12", discardFlags, runTableDiscard},
	{"history", "", "print accepted versions with operator, time and reason", "history -limit 5", historyFlags, runTableHistory},
	{"export", "", "write the table as CSV", "export -o table.csv", exportFlags, runTableExport},
	{"import", "FILE", "apply the edits in an exported CSV file to the draft; - reads standard input", "import table.csv", nil, runTableImport},
	{"rollout", "", "print the version installed at each entry", "rollout", nil, runTableRollout},
}

func draftFlag(f *flag.FlagSet, v *tableFlags) {
	f.BoolVar(&v.draft, "draft", false, "use the draft instead of the table in force")
}

func setFlags(f *flag.FlagSet, v *tableFlags) {
	f.StringVar(&v.base, "base", "", "the `VALUE` that the (single) cell is expected to hold. Default: the value in force, or\n"+
		"that of your own earlier edit in the draft. An edit of a cell that another operator\n"+
		"changed is rejected with the current value; repeat with that as -base to replace it.\n"+
		"Cells are BACKER.COLUMN, pools/POOL.COLUMN and queues/QUEUE.COLUMN. Setting X.name to\n"+
		"X adds the row; setting it to \"\" deletes the row")
}

func acceptFlags(f *flag.FlagSet, v *tableFlags) {
	f.StringVar(&v.reason, "reason", "", "`TEXT` for the history (required)")
	f.Int64Var(&v.draftVersion, "draft", 0, "`NUMBER` of the reviewed draft, from table diff; a draft that changed since is rejected")
	f.StringVar(&v.operation, "operation", "", "operation `ID` of an earlier accept whose outcome is unknown")
}

func discardFlags(f *flag.FlagSet, v *tableFlags) {
	f.Int64Var(&v.draftVersion, "draft", 0, "`NUMBER` of the draft to discard, from table diff; a draft that changed since is kept")
}

func historyFlags(f *flag.FlagSet, v *tableFlags) {
	f.IntVar(&v.limit, "limit", 10, "maximum `NUMBER` of versions")
	f.Int64Var(&v.before, "before", 0, "print versions below `VERSION` only")
}

func exportFlags(f *flag.FlagSet, v *tableFlags) {
	draftFlag(f, v)
	f.StringVar(&v.outputFile, "o", "", "write to `FILE` instead of standard output")
}

// requireNoArgs returns a usage error if there are positional arguments.
func (r *tableInvocation) requireNoArgs() error {
	if len(r.args) > 0 {
		return usageErrorf("unexpected argument %q", r.args[0])
	}
	return nil
}

// print writes v as JSON with -json, and calls text to write it otherwise.
func (r *tableInvocation) print(v any, text func(io.Writer)) error {
	return printValue(r.stdout, r.flags.json, v, text)
}

func runTableShow(ctx context.Context, r *tableInvocation) error {
	if err := r.requireNoArgs(); err != nil {
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

func runTableSet(ctx context.Context, r *tableInvocation) error {
	requested, err := r.parsePairs()
	if err != nil {
		return err
	}
	draft, err := r.client.Draft(ctx)
	if err != nil {
		return err
	}
	edits := withExpectedBases(requested, draft)
	if r.flags.baseSet {
		edits[0].Base = r.flags.base
	}
	changed, err := r.client.SetCells(ctx, edits)
	if err != nil {
		return addBaseHint(err)
	}
	return r.print(changed, func(w io.Writer) { printDiff(w, changed) })
}

// addBaseHint adds to a conflict in a single cell how to replace the other operator's value deliberately.
func addBaseHint(err error) error {
	var rejection *admin.Error
	if errors.As(err, &rejection) && len(rejection.Body.Conflicts) == 1 {
		return fmt.Errorf("%w\nto replace that value, repeat with -base %q", err, rejection.Body.Conflicts[0].Current)
	}
	return err
}

// parsePairs parses the arguments as CELL VALUE pairs.
func (r *tableInvocation) parsePairs() ([]table.Edit, error) {
	if len(r.args) == 0 || len(r.args)%2 != 0 {
		return nil, usageErrorf("expected pairs of CELL VALUE after set")
	}
	if r.flags.baseSet && len(r.args) != 2 {
		return nil, usageErrorf("-base needs exactly one CELL VALUE")
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

// withExpectedBases sets the base of each edit to the value that the operator is assumed to have seen. It expands the
// deletion of a row to all cells of the row.
func withExpectedBases(requested []table.Edit, draft *admin.DraftReply) []table.Edit {
	var edits []table.Edit
	for _, e := range requested {
		expanded := []table.Edit{e}
		if e.Column == table.ColumnName && e.Value == "" && draft.Document != nil {
			expanded = draft.Document.DeleteRowEdits(e.Row)
		}
		for _, e := range expanded {
			e.Base = expectedBase(e.Cell, draft)
			edits = append(edits, e)
		}
	}
	return edits
}

// expectedBase returns the value in force, or the operator's own draft value. It ignores draft edits of other operators, so
// that the entry reports them as conflicts.
func expectedBase(c table.Cell, draft *admin.DraftReply) string {
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

func runTableDiff(ctx context.Context, r *tableInvocation) error {
	if err := r.requireNoArgs(); err != nil {
		return err
	}
	draft, err := r.client.Diff(ctx)
	if err != nil {
		return err
	}
	return r.print(draft, func(w io.Writer) { printDiff(w, draft) })
}

func runTableAccept(ctx context.Context, r *tableInvocation) error {
	if err := r.requireNoArgs(); err != nil {
		return err
	}
	if r.flags.reason == "" {
		return usageErrorf("-reason is missing")
	}
	body := admin.AcceptBody{Operation: r.flags.operation, Reason: r.flags.reason, Draft: r.flags.draftVersion}
	if body.Operation == "" {
		body.Operation = admin.NewOperation()
	}
	reply, err := r.client.Accept(ctx, body)
	if err != nil && !verdict.Is(err, verdict.NotRun) {
		return fmt.Errorf("%w\nto determine the outcome, repeat the command with -operation %s", err, body.Operation)
	}
	if err != nil {
		return err
	}
	return r.print(reply, func(w io.Writer) { fmt.Fprintln(w, reply.Message) })
}

func runTableDiscard(ctx context.Context, r *tableInvocation) error {
	if err := r.requireNoArgs(); err != nil {
		return err
	}
	draft, err := r.client.Diff(ctx)
	if err != nil {
		return err
	}
	ref := table.DraftRef{Draft: draft.Draft, Base: draft.Base}
	if r.flags.draftVersion != 0 {
		ref.Draft = r.flags.draftVersion
	}
	if err := r.client.Discard(ctx, ref); err != nil {
		return err
	}
	return r.print(struct{}{}, func(w io.Writer) { fmt.Fprintf(w, "draft %d discarded\n", ref.Draft) })
}

func runTableHistory(ctx context.Context, r *tableInvocation) error {
	if err := r.requireNoArgs(); err != nil {
		return err
	}
	records, err := r.client.History(ctx, r.flags.before, r.flags.limit)
	if err != nil {
		return err
	}
	return r.print(records, func(w io.Writer) { printHistory(w, records) })
}

func runTableExport(ctx context.Context, r *tableInvocation) error {
	if err := r.requireNoArgs(); err != nil {
		return err
	}
	if r.flags.json {
		return usageErrorf("export writes CSV; use show -json for JSON")
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

func runTableImport(ctx context.Context, r *tableInvocation) error {
	if len(r.args) != 1 {
		return usageErrorf("expected one FILE after import")
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

func (r *tableInvocation) readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(r.stdin)
	}
	return os.ReadFile(name)
}

func runTableRollout(ctx context.Context, r *tableInvocation) error {
	if err := r.requireNoArgs(); err != nil {
		return err
	}
	reply, err := r.client.Rollout(ctx)
	if err != nil {
		return err
	}
	return r.print(reply, func(w io.Writer) { printRollout(w, reply) })
}
