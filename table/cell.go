package table

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Prefixes of row addresses. The prefix of backers is optional and is not stored.
const (
	prefixBackers = "backers/"
	prefixPools   = "pools/"
	prefixQueues  = "queues/"
)

// Cell is the address of one value of the table.
type Cell struct {
	// Row is the name of a backer, or pools/POOL, or queues/QUEUE.
	Row    string `json:"row"`
	Column string `json:"column"`
}

// String returns the form that ParseCell reads.
func (c Cell) String() string { return c.Row + "." + c.Column }

// Edit is a request to set the value of a cell.
type Edit struct {
	Cell
	Value string `json:"value"`
	// Base is the value that the operator read before the edit. A cell of an absent row is empty.
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
		return Cell{}, problemsError([]Problem{{Cell: text, Value: text, Expected: "BACKER.COLUMN, pools/POOL.COLUMN or queues/QUEUE.COLUMN"}})
	}
	c := Cell{Row: strings.TrimPrefix(text[:dot], prefixBackers), Column: text[dot+1:]}
	if _, _, p := c.resolve(); p != nil {
		return Cell{}, problemsError([]Problem{*p})
	}
	return c, nil
}

// resolve returns the section and the name of the row, or a problem with the address.
func (c Cell) resolve() (anySection, string, *Problem) {
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

func splitRow(row string) (anySection, string) {
	if name, ok := strings.CutPrefix(row, prefixPools); ok {
		return poolSection, name
	}
	if name, ok := strings.CutPrefix(row, prefixQueues); ok {
		return queueSection, name
	}
	return backerSection, row
}

func cellOf(s anySection, name, column string) Cell {
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

// Diff lists the cells in which two documents differ, regardless of the order of rows. An
// added or deleted row differs in all its cells that are not empty.
func Diff(before, after *Document) []Change {
	var changes []Change
	oldRows, newRows := newRowIndex(before), newRowIndex(after)
	for _, s := range sections {
		for _, name := range rowNames(s, before, after) {
			for _, column := range append([]string{ColumnName}, s.columns()...) {
				oldValue, newValue := oldRows.value(s, name, column), newRows.value(s, name, column)
				if oldValue != newValue {
					changes = append(changes, Change{Cell: cellOf(s, name, column), Before: oldValue, After: newValue})
				}
			}
		}
	}
	return changes
}

// rowNames returns the names of the rows in before, then of those that are only in after.
func rowNames(s anySection, before, after *Document) []string {
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

// Edits returns the edits that apply the changes to a document that still holds the Before values.
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
