package table

import "fmt"

// Apply returns a copy of d with all edits made, or an error and no change: an *InvalidError for
// malformed edits, or else a *ConflictError if a cell holds neither the base nor the wanted
// value. A row is added by setting its name, and deleted by emptying its name together with all
// its cells, each with its base value, so that no change of another operator is lost with the
// row. A new row must be complete: values without a default are set by the same edits.
func Apply(d *Document, edits []Edit) (*Document, error) {
	b := batch{before: newLookup(d), after: newLookup(d.Clone()), byCell: map[Cell]Edit{}}
	for _, e := range edits {
		b.read(e)
	}
	if err := invalid(b.problems); err != nil {
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
	if err := invalid(b.problems); err != nil {
		return nil, err
	}
	return b.after.doc, nil
}

type batch struct {
	before, after *lookup
	edits         []resolvedEdit
	byCell        map[Cell]Edit
	problems      []Problem
	conflicts     []Conflict
}

type resolvedEdit struct {
	Edit
	sheet sheet
	name  string
}

func (e resolvedEdit) deletesRow() bool { return e.Column == ColumnName && e.Value == "" }

func (b *batch) refuse(c Cell, value, expected string) {
	b.problems = append(b.problems, Problem{Cell: c.String(), Value: value, Expected: expected})
}

func (b *batch) read(e Edit) {
	s, name, p := e.resolve()
	if p != nil {
		b.problems = append(b.problems, *p)
		return
	}
	e.Cell = cellOf(s, name, e.Column)
	if _, ok := b.byCell[e.Cell]; ok {
		b.refuse(e.Cell, e.Value, "each cell once among the edits")
		return
	}
	if e.Column == ColumnName && e.Value != "" && e.Value != name {
		b.refuse(e.Cell, e.Value, fmt.Sprintf("%q to add the row or nothing to delete it; rows are not renamed", name))
		return
	}
	e.Value, e.Base = canonical(s, e.Column, e.Value), canonical(s, e.Column, e.Base)
	b.edits = append(b.edits, resolvedEdit{e, s, name})
	b.byCell[e.Cell] = e
}

func (b *batch) findConflicts() {
	for _, e := range b.edits {
		current := b.before.value(e.sheet, e.name, e.Column)
		if current != e.Base && current != e.Value {
			b.conflicts = append(b.conflicts, Conflict{Cell: e.Cell, Base: e.Base, Current: current, Value: e.Value})
		}
		if e.deletesRow() {
			b.findUnseenCells(e)
		}
	}
}

// findUnseenCells reports cells of a deleted row that hold a value and have no edit.
func (b *batch) findUnseenCells(e resolvedEdit) {
	for _, column := range e.sheet.columns() {
		c := cellOf(e.sheet, e.name, column)
		if current := b.before.value(e.sheet, e.name, column); current != "" && !b.edited(c) {
			b.conflicts = append(b.conflicts, Conflict{Cell: c, Current: current})
		}
	}
}

func (b *batch) edited(c Cell) bool {
	_, ok := b.byCell[c]
	return ok
}

func (b *batch) addRows() {
	for _, e := range b.edits {
		if e.Column == ColumnName && e.Value != "" {
			b.after.add(e.sheet, e.name)
		}
	}
}

func (b *batch) setCells() {
	for _, e := range b.edits {
		i := b.after.find(e.sheet, e.name)
		switch {
		case e.Column == ColumnName || b.deletes(e):
		case i < 0 && e.Value == "":
		case i < 0:
			b.refuse(e.Cell, e.Value, fmt.Sprintf("an existing %s; set %s to %s to add it", e.sheet.kind(), cellOf(e.sheet, e.name, ColumnName), e.name))
		case !e.sheet.set(b.after.doc, i, e.Column, e.Value):
			b.refuse(e.Cell, e.Value, e.sheet.expected(e.Column))
		}
	}
}

// deletes reports whether the batch deletes the row of e. Other values of the row must be empty.
func (b *batch) deletes(e resolvedEdit) bool {
	name, ok := b.byCell[cellOf(e.sheet, e.name, ColumnName)]
	if !ok || name.Value != "" {
		return false
	}
	if e.Value != "" {
		b.refuse(e.Cell, e.Value, "nothing, since the row is deleted")
	}
	return true
}

func (b *batch) checkAddedRows() {
	if len(b.problems) > 0 {
		return
	}
	for _, e := range b.edits {
		if e.Column == ColumnName && e.Value != "" && b.before.find(e.sheet, e.name) < 0 {
			b.problems = append(b.problems, cellProblems(b.after.doc, e.sheet, b.after.find(e.sheet, e.name))...)
		}
	}
}

func (b *batch) deleteRows() {
	for _, s := range sheets {
		s.retain(b.after.doc, func(name string) bool {
			e, ok := b.byCell[cellOf(s, name, ColumnName)]
			return !ok || e.Value != ""
		})
	}
}
