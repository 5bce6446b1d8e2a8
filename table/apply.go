package table

import "fmt"

// Apply returns a copy of d with all edits applied, or an error and no document: an *InvalidError for
// malformed edits, or else a *ConflictError if a cell holds neither the base nor the requested
// value. A row is added by setting its name, and deleted by clearing its name together with all
// its cells, each with its base value, so that no change of another operator is lost with the
// row. A new row must be complete: values without a default are set by the same edits.
func Apply(d *Document, edits []Edit) (*Document, error) {
	b := editBatch{before: newRowIndex(d), after: newRowIndex(d.Clone()), byCell: map[Cell]Edit{}}
	for _, e := range edits {
		b.addEdit(e)
	}
	if err := problemsError(b.problems); err != nil {
		return nil, err
	}
	b.findConflicts()
	if len(b.conflicts) > 0 {
		return nil, &ConflictError{Conflicts: b.conflicts}
	}
	b.addRows()
	b.setCells()
	b.checkAddedRows()
	b.deleteRows()
	if err := problemsError(b.problems); err != nil {
		return nil, err
	}
	return b.after.doc, nil
}

// editBatch is a set of edits that are applied together or not at all.
type editBatch struct {
	before, after *rowIndex
	edits         []resolvedEdit
	byCell        map[Cell]Edit
	problems      []Problem
	conflicts     []Conflict
}

type resolvedEdit struct {
	Edit
	section anySection
	name    string
}

func (e resolvedEdit) deletesRow() bool { return e.Column == ColumnName && e.Value == "" }

func (b *editBatch) addProblem(c Cell, value, expected string) {
	b.problems = append(b.problems, Problem{Cell: c.String(), Value: value, Expected: expected})
}

func (b *editBatch) addEdit(e Edit) {
	s, name, p := e.resolve()
	if p != nil {
		b.problems = append(b.problems, *p)
		return
	}
	e.Cell = cellOf(s, name, e.Column)
	if _, ok := b.byCell[e.Cell]; ok {
		b.addProblem(e.Cell, e.Value, "at most one edit per cell")
		return
	}
	if e.Column == ColumnName && e.Value != "" && e.Value != name {
		b.addProblem(e.Cell, e.Value, fmt.Sprintf("%q to add the row or an empty value to delete it; rows cannot be renamed", name))
		return
	}
	e.Value, e.Base = canonical(s, e.Column, e.Value), canonical(s, e.Column, e.Base)
	b.edits = append(b.edits, resolvedEdit{e, s, name})
	b.byCell[e.Cell] = e
}

func (b *editBatch) findConflicts() {
	for _, e := range b.edits {
		current := b.before.value(e.section, e.name, e.Column)
		if current != e.Base && current != e.Value {
			b.conflicts = append(b.conflicts, Conflict{Cell: e.Cell, Base: e.Base, Current: current, Value: e.Value})
		}
		if e.deletesRow() {
			b.findUneditedCells(e)
		}
	}
}

// findUneditedCells adds a conflict for each cell of a deleted row that holds a value and has no edit.
func (b *editBatch) findUneditedCells(e resolvedEdit) {
	for _, column := range e.section.columns() {
		c := cellOf(e.section, e.name, column)
		if current := b.before.value(e.section, e.name, column); current != "" && !b.hasEdit(c) {
			b.conflicts = append(b.conflicts, Conflict{Cell: c, Current: current})
		}
	}
}

func (b *editBatch) hasEdit(c Cell) bool {
	_, ok := b.byCell[c]
	return ok
}

func (b *editBatch) addRows() {
	for _, e := range b.edits {
		if e.Column == ColumnName && e.Value != "" {
			b.after.add(e.section, e.name)
		}
	}
}

func (b *editBatch) setCells() {
	for _, e := range b.edits {
		i := b.after.find(e.section, e.name)
		switch {
		case e.Column == ColumnName || b.deletesRowOf(e):
		case i < 0 && e.Value == "":
		case i < 0:
			b.addProblem(e.Cell, e.Value, fmt.Sprintf("an existing %s; set %s to %s to add it", e.section.kind(), cellOf(e.section, e.name, ColumnName), e.name))
		case !e.section.set(b.after.doc, i, e.Column, e.Value):
			b.addProblem(e.Cell, e.Value, e.section.expected(e.Column))
		}
	}
}

// deletesRowOf reports whether the batch deletes the row of e. The row's other cells must then be set
// to the empty value.
func (b *editBatch) deletesRowOf(e resolvedEdit) bool {
	name, ok := b.byCell[cellOf(e.section, e.name, ColumnName)]
	if !ok || name.Value != "" {
		return false
	}
	if e.Value != "" {
		b.addProblem(e.Cell, e.Value, "nothing, since the row is deleted")
	}
	return true
}

func (b *editBatch) checkAddedRows() {
	if len(b.problems) > 0 {
		return
	}
	for _, e := range b.edits {
		if e.Column == ColumnName && e.Value != "" && b.before.find(e.section, e.name) < 0 {
			b.problems = append(b.problems, cellProblems(b.after.doc, e.section, b.after.find(e.section, e.name))...)
		}
	}
}

func (b *editBatch) deleteRows() {
	for _, s := range sections {
		s.retain(b.after.doc, func(name string) bool {
			e, ok := b.byCell[cellOf(s, name, ColumnName)]
			return !ok || e.Value != ""
		})
	}
}
