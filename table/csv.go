package table

import (
	"bufio"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// Origin is the state that a CSV file was exported from. An import compares the file with this
// state, so that changes made by others since then are not overwritten.
type Origin struct {
	// Version is the accepted version.
	Version int64
	// Draft is the row version of the draft, 0 for a file of the accepted document.
	Draft int64
}

// Kinds of CSV records that are not rows of the table.
const (
	csvKind    = "kind"
	csvVersion = "version"
	csvDraft   = "draft"
)

// maxCSVProblems bounds the list of problems of one file.
const maxCSVProblems = 1000

// csvHeader returns the column names. One rectangular sheet holds all sections, so a
// spreadsheet program neither pads nor reorders anything; cells of other kinds stay empty.
func csvHeader() []string {
	header := []string{csvKind, ColumnName}
	for _, s := range sheets {
		header = append(header, s.columns()...)
	}
	return header
}

// WriteCSV writes the document as one CSV sheet.
func WriteCSV(w io.Writer, d *Document, origin Origin) error {
	out, header := csv.NewWriter(w), csvHeader()
	records := [][]string{header, csvRecord(header, csvVersion, strconv.FormatInt(origin.Version, 10), nil)}
	if origin.Draft != 0 {
		records = append(records, csvRecord(header, csvDraft, strconv.FormatInt(origin.Draft, 10), nil))
	}
	for _, s := range sheets {
		for i := range s.count(d) {
			values := map[string]string{}
			for _, column := range s.columns() {
				values[column] = s.get(d, i, column)
			}
			records = append(records, csvRecord(header, string(s.kind()), s.name(d, i), values))
		}
	}
	return out.WriteAll(records)
}

func csvRecord(header []string, kind, name string, values map[string]string) []string {
	record := make([]string, len(header))
	for i, column := range header {
		record[i] = values[column]
	}
	record[0], record[1] = kind, name
	return record
}

// ReadCSV reads a sheet that WriteCSV wrote. It is strict: the header, the kinds, every value and
// the record "version" must be right, and a row occurs once. An *InvalidError lists all problems
// with their lines; another error comes from r. The document is not checked as a whole.
func ReadCSV(r io.Reader) (*Document, Origin, error) {
	buffered := bufio.NewReader(r)
	// Spreadsheet programs put a byte order mark before UTF-8 text.
	if mark, err := buffered.Peek(3); err == nil && string(mark) == "\xef\xbb\xbf" {
		_, _ = buffered.Discard(3)
	}
	in := csvReader{csv: csv.NewReader(buffered), header: csvHeader(), doc: &Document{}, lines: map[string]int{}}
	in.csv.FieldsPerRecord = -1
	if err := in.readAll(); err != nil {
		return nil, Origin{}, err
	}
	if in.lines[csvVersion] == 0 {
		in.refuse(0, csvVersion, "", "a record with kind version and the exported version as name, 0 for a new table")
	}
	if err := invalid(in.problems); err != nil {
		return nil, Origin{}, err
	}
	in.doc.Version = in.origin.Version
	return in.doc, in.origin, nil
}

type csvReader struct {
	csv      *csv.Reader
	header   []string
	doc      *Document
	origin   Origin
	lines    map[string]int // line of each row and of the records "version" and "draft"
	problems []Problem
}

func (r *csvReader) refuse(line int, cell, value, expected string) {
	r.problems = append(r.problems, Problem{Cell: cell, Value: value, Expected: expected, Line: line})
}

func (r *csvReader) readAll() error {
	for first := true; len(r.problems) < maxCSVProblems; first = false {
		record, err := r.csv.Read()
		var syntax *csv.ParseError
		switch {
		case err == io.EOF && first:
			r.refuse(1, "header", "", strings.Join(r.header, ","))
			return nil
		case err == io.EOF:
			return nil
		case errors.As(err, &syntax):
			r.refuse(syntax.Line, fmt.Sprintf("byte %d", syntax.Column), syntax.Err.Error(), "fields separated by commas, with quotes in pairs")
			return nil
		case err != nil:
			return err
		}
		line, _ := r.csv.FieldPos(0)
		if first {
			if !slices.Equal(record, r.header) {
				r.refuse(line, "header", strings.Join(record, ","), strings.Join(r.header, ",")+" (separated by commas, not semicolons)")
				return nil
			}
			continue
		}
		r.readRecord(line, record)
	}
	return nil
}

func (r *csvReader) readRecord(line int, record []string) {
	if len(record) != len(r.header) {
		r.refuse(line, "record", fmt.Sprintf("%d fields", len(record)), fmt.Sprintf("%d fields", len(r.header)))
		return
	}
	switch kind := record[0]; kind {
	case csvVersion:
		r.readNumber(line, record, &r.origin.Version)
	case csvDraft:
		r.readNumber(line, record, &r.origin.Draft)
	case string(KindBacker), string(KindPool), string(KindQueue):
		r.readRow(line, sheetOf(Kind(kind)), record)
	default:
		r.refuse(line, csvKind, kind, "one of version, draft, backer, pool, queue")
	}
}

func (r *csvReader) readNumber(line int, record []string, number *int64) {
	kind, value := record[0], record[1]
	if !r.firstTime(line, kind, value) {
		return
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 {
		r.refuse(line, kind, value, "a whole number, 0 or greater, in column name")
	}
	*number = n
	r.refuseForeign(line, kind, nil, record)
}

func (r *csvReader) firstTime(line int, key, value string) bool {
	if first, ok := r.lines[key]; ok {
		r.refuse(line, key, value, fmt.Sprintf("one record of this name; line %d has it too", first))
		return false
	}
	r.lines[key] = line
	return true
}

func (r *csvReader) readRow(line int, s sheet, record []string) {
	name := record[1]
	at := cellOf(s, name, ColumnName).String()
	if !validName(name) {
		r.refuse(line, at, name, expectName)
		return
	}
	if !r.firstTime(line, at, name) {
		return
	}
	i := s.add(r.doc, name)
	for _, column := range s.columns() {
		value := record[slices.Index(r.header, column)]
		if !s.set(r.doc, i, column, value) {
			r.refuse(line, cellOf(s, name, column).String(), value, s.expected(column))
		}
	}
	r.refuseForeign(line, cellOf(s, name, "").Row, s, record)
}

// refuseForeign reports values in columns that the kind of the record does not have.
func (r *csvReader) refuseForeign(line int, row string, s sheet, record []string) {
	for i, column := range r.header {
		own := i < 2 || s != nil && slices.Contains(s.columns(), column)
		if !own && record[i] != "" {
			r.refuse(line, row+"."+column, record[i], "nothing, since a "+record[0]+" has no such column")
		}
	}
}
