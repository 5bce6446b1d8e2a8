package command

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"samphirepoint/admin"
	"samphirepoint/table"
)

// columnGap is the number of spaces between aligned columns.
const columnGap = 2

// printTable prints rows as aligned columns, and empty cells as "-".
func printTable(w io.Writer, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			if cells[i] = cell; cell == "" {
				cells[i] = "-"
			}
		}
		fmt.Fprintln(t, strings.Join(cells, "\t"))
	}
	// Flush fails only if writing to w fails, which the shell reports if w is a pipe.
	_ = t.Flush()
}

func tableRow(values ...any) []string {
	row := make([]string, len(values))
	for i, v := range values {
		row[i] = fmt.Sprint(v)
	}
	return row
}

func printDocument(w io.Writer, title string, d *table.Document) {
	fmt.Fprintf(w, "%s\n\n", title)
	rows := [][]string{{"BACKER", "weight", "nominalQuota", "borrowingLimit", "maxUnavailable"}}
	for _, b := range d.Backers {
		rows = append(rows, tableRow(b.Name, b.Weight, b.NominalQuota, b.BorrowingLimit, b.MaxUnavailable))
	}
	printTable(w, rows)
	rows = [][]string{{"POOL", "region", "spare"}}
	for _, p := range d.Pools {
		rows = append(rows, tableRow(p.Name, p.Region, p.Spare))
	}
	fmt.Fprintln(w)
	printTable(w, rows)
	rows = [][]string{{"QUEUE", "maxLength", "pools", "backers"}}
	for _, q := range d.Queues {
		backers := strings.Join(q.Backers, " ")
		if backers == "" {
			backers = "(all)"
		}
		rows = append(rows, tableRow(q.Name, q.MaxLength, strings.Join(q.Pools, " "), backers))
	}
	fmt.Fprintln(w)
	printTable(w, rows)
}

func draftTitle(d *admin.DraftReply) string {
	if d.Draft == 0 {
		return fmt.Sprintf("no draft; version %d is in force", d.Base)
	}
	return fmt.Sprintf("draft %d on version %d", d.Draft, d.Base)
}

func printDraft(w io.Writer, d *admin.DraftReply) {
	if d.Document == nil {
		printDiff(w, d)
		return
	}
	printDocument(w, draftTitle(d), d.Document)
}

// printDiff prints the changes of a draft, their effects, and the problems and conflicts that prevent accepting it.
func printDiff(w io.Writer, d *admin.DraftReply) {
	fmt.Fprintln(w, draftTitle(d))
	if len(d.Changes) > 0 {
		rows := [][]string{{"CELL", "before", "after", "operator", "at"}}
		for _, c := range d.Changes {
			rows = append(rows, tableRow(c.Cell, c.Before, c.After, c.Operator, formatTime(c.At)))
		}
		fmt.Fprintln(w)
		printTable(w, rows)
	}
	if d.Preview != nil && len(d.Changes) > 0 {
		printPreview(w, d.Preview)
	}
	if len(d.Problems)+len(d.Conflicts) > 0 {
		fmt.Fprintln(w, "\nthe draft cannot be accepted:")
	}
	for _, p := range d.Problems {
		fmt.Fprintf(w, "  %s\n", p)
	}
	for _, c := range d.Conflicts {
		fmt.Fprintf(w, "  %s\n", c)
	}
}

// printPreview prints the backers and pools that a draft affects.
func printPreview(w io.Writer, p *table.Preview) {
	rows := [][]string{{"BACKER", "share before", "after", "limit before", "after"}}
	for _, b := range p.Backers {
		if b.Share.Before != b.Share.After || b.Limit.Before != b.Limit.After {
			rows = append(rows, tableRow(b.Name, fmt.Sprintf("%.1f", b.Share.Before), fmt.Sprintf("%.1f", b.Share.After), b.Limit.Before, b.Limit.After))
		}
	}
	if len(rows) > 1 {
		fmt.Fprintln(w, "\nslots:")
		printTable(w, rows)
	}
	rows = [][]string{{"POOL", "instances", "budget before", "after"}}
	for _, pool := range p.Pools {
		if pool.Budget.Before != pool.Budget.After {
			rows = append(rows, tableRow(pool.Name, pool.Size.Instances, pool.Budget.Before, pool.Budget.After))
		}
	}
	if len(rows) > 1 {
		fmt.Fprintln(w, "\nmaximum number of unavailable instances:")
		printTable(w, rows)
	}
	if p.Moves != nil {
		fmt.Fprintf(w, "\ninstance moves: %d\n", *p.Moves)
	}
	for _, warning := range p.Warnings {
		fmt.Fprintf(w, "warning: %s\n", warning)
	}
}

func printHistory(w io.Writer, records []table.Record) {
	for i, r := range records {
		if i > 0 {
			fmt.Fprintln(w)
		}
		fmt.Fprintf(w, "version %d  %s  %s  %s\n", r.Version, formatTime(r.At), r.Operator, r.Reason)
		var rows [][]string
		for _, c := range r.Changes {
			rows = append(rows, tableRow("  "+c.Cell.String(), c.Before, c.After, c.Operator))
		}
		printTable(w, rows)
	}
}

func printRollout(w io.Writer, r *admin.RolloutReply) {
	fmt.Fprintf(w, "version %d is in force\n", r.Accepted)
	if r.TableError != "" {
		fmt.Fprintf(w, "the table is unavailable; the version shown is the highest one of the entries: %s\n", r.TableError)
	}
	rows := [][]string{{"ENTRY", "version", "age", "state"}}
	for _, e := range r.Entries {
		state := "current"
		if e.Version < r.Accepted {
			state = "behind"
		}
		rows = append(rows, tableRow(e.Entry, e.Version, time.Duration(e.AgeMillis)*time.Millisecond, state))
	}
	fmt.Fprintln(w)
	printTable(w, rows)
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format("2006-01-02 15:04:05Z")
}
