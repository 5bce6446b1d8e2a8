package table

import (
	"math"
	"slices"
	"strconv"
	"strings"
)

// Kind names a section of the table.
type Kind string

// Sections of the table.
const (
	KindBacker Kind = "backer"
	KindPool   Kind = "pool"
	KindQueue  Kind = "queue"
)

// ColumnName is the column that adds and deletes rows: it holds the row's name while the row
// exists and is empty otherwise.
const ColumnName = "name"

// Bounds of values. They keep sums far from overflow and limit the growth of the row in the table
// service by a mistyped file; the fleet size expected in two years needs 210 backers and 67 pools.
const (
	maxNameBytes     = 64
	maxWeight        = 1e6
	maxSlots         = 1_000_000
	maxQueueLength   = 1_000_000
	maxRowsOfSection = 1000
)

// Descriptions of accepted values for Problem.Expected.
const (
	expectName   = "a name of 1 to 64 letters, digits, '-' or '_', that starts with a letter or digit"
	expectSlots  = "a whole number from 0 to 1000000"
	expectWeight = "a number greater than 0 and at most 1000000"
)

// anySection gives access to the rows and cells of one section, whatever the type of its rows.
type anySection interface {
	kind() Kind
	columns() []string
	expected(column string) string
	count(d *Document) int
	name(d *Document, i int) string
	find(d *Document, name string) int
	get(d *Document, i int, column string) string
	set(d *Document, i int, column, value string) bool
	add(d *Document, name string) int
	// retain deletes the rows for whose names keep returns false.
	retain(d *Document, keep func(name string) bool)
}

// column describes one column of rows of type T.
type column[T any] struct {
	name     string
	expected string
	get      func(*T) string
	// set stores the value and reports whether it is valid.
	set func(*T, string) bool
}

// section implements anySection for rows of type T.
type section[T any] struct {
	sectionKind Kind
	rows        func(*Document) *[]T
	nameOf      func(*T) *string
	defaults    T
	columnDefs  []column[T]
}

var sections = []anySection{backerSection, poolSection, queueSection}

// backerSection gives a new backer maxUnavailable 1, since 0 would block maintenance of every pool that
// serves the backer.
var backerSection = &section[Backer]{
	sectionKind: KindBacker,
	rows:        func(d *Document) *[]Backer { return &d.Backers },
	nameOf:      func(b *Backer) *string { return &b.Name },
	defaults:    Backer{Weight: 1, MaxUnavailable: 1},
	columnDefs: []column[Backer]{
		{"weight", expectWeight,
			func(b *Backer) string { return strconv.FormatFloat(b.Weight, 'g', -1, 64) },
			func(b *Backer, v string) bool { return parseWeight(v, &b.Weight) }},
		intColumn("nominalQuota", 0, maxSlots, expectSlots, func(b *Backer) *int { return &b.NominalQuota }),
		intColumn("borrowingLimit", 0, maxSlots, expectSlots, func(b *Backer) *int { return &b.BorrowingLimit }),
		intColumn("maxUnavailable", 0, maxSlots, expectSlots, func(b *Backer) *int { return &b.MaxUnavailable }),
	},
}

var poolSection = &section[Pool]{
	sectionKind: KindPool,
	rows:        func(d *Document) *[]Pool { return &d.Pools },
	nameOf:      func(p *Pool) *string { return &p.Name },
	columnDefs: []column[Pool]{
		{"region", expectName + ", or nothing",
			func(p *Pool) string { return p.Region },
			func(p *Pool, v string) bool {
				p.Region = v
				return v == "" || validName(v)
			}},
		{"spare", "true or false",
			func(p *Pool) string { return strconv.FormatBool(p.Spare) },
			func(p *Pool, v string) bool {
				p.Spare = v == "true"
				return v == "true" || v == "false"
			}},
	},
}

var queueSection = &section[Queue]{
	sectionKind: KindQueue,
	rows:        func(d *Document) *[]Queue { return &d.Queues },
	nameOf:      func(q *Queue) *string { return &q.Name },
	defaults:    Queue{MaxLength: 1000},
	columnDefs: []column[Queue]{
		{"pools", "one or more names of pools, separated by spaces, each once",
			func(q *Queue) string { return strings.Join(q.Pools, " ") },
			func(q *Queue, v string) bool { return parseNames(v, &q.Pools) && len(q.Pools) > 0 }},
		{"backers", "names of backers, separated by spaces, each once, or nothing for all backers",
			func(q *Queue) string { return strings.Join(q.Backers, " ") },
			func(q *Queue, v string) bool { return parseNames(v, &q.Backers) }},
		intColumn("maxLength", 1, maxQueueLength, "a whole number from 1 to 1000000", func(q *Queue) *int { return &q.MaxLength }),
	},
}

func intColumn[T any](name string, low, high int, expected string, field func(*T) *int) column[T] {
	return column[T]{name, expected,
		func(row *T) string { return strconv.Itoa(*field(row)) },
		func(row *T, v string) bool {
			n, err := strconv.Atoi(v)
			*field(row) = n
			return err == nil && n >= low && n <= high
		}}
}

func (s *section[T]) kind() Kind { return s.sectionKind }

func (s *section[T]) columns() []string {
	names := make([]string, len(s.columnDefs))
	for i, c := range s.columnDefs {
		names[i] = c.name
	}
	return names
}

func (s *section[T]) column(name string) column[T] {
	i := slices.IndexFunc(s.columnDefs, func(c column[T]) bool { return c.name == name })
	return s.columnDefs[i]
}

func (s *section[T]) expected(column string) string {
	if column == ColumnName {
		return expectName
	}
	return s.column(column).expected
}

func (s *section[T]) count(d *Document) int          { return len(*s.rows(d)) }
func (s *section[T]) name(d *Document, i int) string { return *s.nameOf(&(*s.rows(d))[i]) }

func (s *section[T]) find(d *Document, name string) int {
	rows := *s.rows(d)
	return slices.IndexFunc(rows, func(row T) bool { return *s.nameOf(&row) == name })
}

func (s *section[T]) get(d *Document, i int, column string) string {
	if column == ColumnName {
		return s.name(d, i)
	}
	return s.column(column).get(&(*s.rows(d))[i])
}

func (s *section[T]) set(d *Document, i int, column, value string) bool {
	return s.column(column).set(&(*s.rows(d))[i], value)
}

func (s *section[T]) add(d *Document, name string) int {
	row := s.defaults
	*s.nameOf(&row) = name
	rows := s.rows(d)
	*rows = append(*rows, row)
	return len(*rows) - 1
}

func (s *section[T]) retain(d *Document, keep func(name string) bool) {
	rows := s.rows(d)
	*rows = slices.DeleteFunc(*rows, func(row T) bool { return !keep(*s.nameOf(&row)) })
}

// rowIndex finds rows by name in constant time. If several rows have the same name, it finds the first.
type rowIndex struct {
	doc  *Document
	rows map[Kind]map[string]int
}

func newRowIndex(d *Document) *rowIndex {
	l := &rowIndex{doc: d, rows: map[Kind]map[string]int{}}
	for _, s := range sections {
		names := make(map[string]int, s.count(d))
		for i := s.count(d) - 1; i >= 0; i-- {
			names[s.name(d, i)] = i
		}
		l.rows[s.kind()] = names
	}
	return l
}

// find returns the index of a row, -1 if it is absent.
func (l *rowIndex) find(s anySection, name string) int {
	i, ok := l.rows[s.kind()][name]
	if !ok {
		return -1
	}
	return i
}

// value returns the text of a cell, which is empty in an absent row.
func (l *rowIndex) value(s anySection, name, column string) string {
	i := l.find(s, name)
	if i < 0 {
		return ""
	}
	return s.get(l.doc, i, column)
}

// add appends a row unless it is present.
func (l *rowIndex) add(s anySection, name string) {
	if l.find(s, name) < 0 {
		l.rows[s.kind()][name] = s.add(l.doc, name)
	}
}

func sectionByKind(k Kind) anySection {
	for _, s := range sections {
		if s.kind() == k {
			return s
		}
	}
	return nil
}

// canonical returns the stored form of a value, or the value itself if it is not valid in the column.
func canonical(s anySection, column, value string) string {
	if column == ColumnName {
		return value
	}
	var scratch Document
	i := s.add(&scratch, "scratch")
	if !s.set(&scratch, i, column, value) {
		return value
	}
	return s.get(&scratch, i, column)
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes || name[0] == '-' || name[0] == '_' {
		return false
	}
	for _, c := range []byte(name) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// parseWeight accepts decimal numbers only; strconv would also accept "inf", "nan" and hexadecimal.
func parseWeight(v string, weight *float64) bool {
	if strings.Trim(v, "0123456789.eE+-") != "" {
		return false
	}
	w, err := strconv.ParseFloat(v, 64)
	*weight = w
	return err == nil && w > 0 && w <= maxWeight && !math.IsNaN(w)
}

// parseNames reads names that are separated by spaces or commas. It sets names to nil if it fails.
func parseNames(v string, names *[]string) bool {
	*names = nil
	var list []string
	for _, name := range strings.FieldsFunc(v, func(r rune) bool { return r == ' ' || r == ',' }) {
		if !validName(name) || slices.Contains(list, name) {
			return false
		}
		list = append(list, name)
	}
	*names = list
	return true
}
