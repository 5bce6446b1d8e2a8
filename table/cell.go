package table

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Prefixes of rows that are not backers.
const (
	prefixBackers = "backers/"
	prefixPools   = "pools/"
	prefixQueues  = "queues/"
)

// Cell addresses one value of the table.
type Cell struct {
	// Row is the name of a backer, or pools/POOL, or queues/QUEUE.
	Row    string `json:"row"`
	Column string `json:"column"`
}

// String returns the form that ParseCell reads.
func (c Cell) String() string { return c.Row + "." + c.Column }

// Edit asks for a value in a cell.
type Edit struct {
	Cell
	Value string `json:"value"`
	// Base is the value that the operator saw. A cell of an absent row is empty.
	Base string `json:"base"`
}

// Change is a difference between two documents in one cell.
type Change struct {
	Cell
	Before string `json:"before"`
	After  string `json:"after"`
	// Operator and At are set in drafts and in the history.
	Operator string    `json:"operator,omitempty"`
	At       time.Time `json:"at,omitzero"`
}

// ParseCell reads BACKER.COLUMN, pools/POOL.COLUMN or queues/QUEUE.COLUMN. The prefix backers/ is
// optional. An error is an *InvalidError.
func ParseCell(text string) (Cell, error) {
	dot := strings.LastIndexByte(text, '.')
	if dot < 0 {
		return Cell{}, invalid([]Problem{{Cell: text, Value: text, Expected: "BACKER.COLUMN, pools/POOL.COLUMN or queues/QUEUE.COLUMN"}})
	}
	c := Cell{Row: strings.TrimPrefix(text[:dot], prefixBackers), Column: text[dot+1:]}
	if _, _, p := c.resolve(); p != nil {
		return Cell{}, invalid([]Problem{*p})
	}
	return c, nil
}

// resolve returns the section and the name of the row, or a problem with the address.
func (c Cell) resolve() (sheet, string, *Problem) {
	s, name := splitRow(c.Row)
	if !validName(name) {
		return nil, "", &Problem{Cell: c.String(), Value: c.Row, Expected: "as row " + expectName + ", for pools and queues after pools/ or queues/"}
	}
	if c.Column != ColumnName && !slices.Contains(s.columns(), c.Column) {
		return nil, "", &Problem{Cell: c.String(), Value: c.Column,
			Expected: fmt.Sprintf("as column of a %s one of %s, %s", s.kind(), ColumnName, strings.Join(s.columns(), ", "))}
	}
	return s, name, nil
}

func splitRow(row string) (sheet, string) {
	if name, ok := strings.CutPrefix(row, prefixPools); ok {
		return poolSheet, name
	}
	if name, ok := strings.CutPrefix(row, prefixQueues); ok {
		return queueSheet, name
	}
	return backerSheet, row
}

func cellOf(s sheet, name, column string) Cell {
	switch s.kind() {
	case KindPool:
		name = prefixPools + name
	case KindQueue:
		name = prefixQueues + name
	}
	return Cell{Row: name, Column: column}
}

// Value returns the value of a cell as text. The cells of an absent row are empty.
func (d *Document) Value(c Cell) string {
	s, name, p := c.resolve()
	if p != nil {
		return ""
	}
	i := s.find(d, name)
	if i < 0 {
		return ""
	}
	return s.get(d, i, c.Column)
}

// Clone returns a deep copy.
func (d *Document) Clone() *Document {
	c := *d
	c.Backers, c.Pools, c.Queues = slices.Clone(d.Backers), slices.Clone(d.Pools), slices.Clone(d.Queues)
	for i := range c.Queues {
		c.Queues[i].Pools = slices.Clone(c.Queues[i].Pools)
		c.Queues[i].Backers = slices.Clone(c.Queues[i].Backers)
	}
	return &c
}

// Diff lists the cells in which two documents differ, without regard to the order of rows. An
// added or deleted row differs in all its cells that are not empty.
func Diff(before, after *Document) []Change {
	var changes []Change
	old, next := newLookup(before), newLookup(after)
	for _, s := range sheets {
		for _, name := range rowNames(s, before, after) {
			for _, column := range append([]string{ColumnName}, s.columns()...) {
				was, is := old.value(s, name, column), next.value(s, name, column)
				if was != is {
					changes = append(changes, Change{Cell: cellOf(s, name, column), Before: was, After: is})
				}
			}
		}
	}
	return changes
}

// rowNames returns the names in before, then those that only after has.
func rowNames(s sheet, before, after *Document) []string {
	var names []string
	seen := map[string]bool{}
	for _, d := range []*Document{before, after} {
		for i := range s.count(d) {
			if name := s.name(d, i); !seen[name] {
				seen[name] = true
				names = append(names, name)
			}
		}
	}
	return names
}

// Edits returns the edits that make the changes on a document that still holds the Before values.
func Edits(changes []Change) []Edit {
	edits := make([]Edit, len(changes))
	for i, c := range changes {
		edits[i] = Edit{Cell: c.Cell, Value: c.After, Base: c.Before}
	}
	return edits
}

// DeleteRowEdits returns the edits that delete a row whose cells still hold the values in d.
func (d *Document) DeleteRowEdits(row string) []Edit {
	s, name := splitRow(strings.TrimPrefix(row, prefixBackers))
	var edits []Edit
	for _, column := range append([]string{ColumnName}, s.columns()...) {
		c := cellOf(s, name, column)
		edits = append(edits, Edit{Cell: c, Base: d.Value(c)})
	}
	return edits
}
