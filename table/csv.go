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

// Origin identifies the state that a CSV file was exported from. An import compares the file with
// this state, so that changes made by others since then are not overwritten.
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

// maxCSVProblems bounds the number of problems reported for one file.
const maxCSVProblems = 1000

// csvHeader returns the column names. One rectangular sheet holds all sections, so that spreadsheet
// programs neither pad nor reorder the records; cells of other sections' columns stay empty.
func csvHeader() []string {
	header := []string{csvKind, ColumnName}
	for _, s := range sections {
		header = append(header, s.columns()...)
	}
	return header
}

// WriteCSV writes the document as one CSV sheet.
func WriteCSV(w io.Writer, d *Document, origin Origin) error {
	writer, header := csv.NewWriter(w), csvHeader()
	records := [][]string{header, csvRecord(header, csvVersion, strconv.FormatInt(origin.Version, 10), nil)}
	if origin.Draft != 0 {
		records = append(records, csvRecord(header, csvDraft, strconv.FormatInt(origin.Draft, 10), nil))
	}
	for _, s := range sections {
		for i := range s.count(d) {
			values := map[string]string{}
			for _, column := range s.columns() {
				values[column] = s.get(d, i, column)
			}
			records = append(records, csvRecord(header, string(s.kind()), s.name(d, i), values))
		}
	}
	return writer.WriteAll(records)
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
// the record "version" must be valid, and each row occurs once. An *InvalidError lists the problems
// with their lines; any other error comes from r. The document is not validated as a whole.
func ReadCSV(r io.Reader) (*Document, Origin, error) {
	buffered := bufio.NewReader(r)
	// Spreadsheet programs write a byte order mark before UTF-8 text.
	if bom, err := buffered.Peek(3); err == nil && string(bom) == "\xef\xbb\xbf" {
		_, _ = buffered.Discard(3)
	}
	reader := csvReader{csv: csv.NewReader(buffered), header: csvHeader(), doc: &Document{}, lines: map[string]int{}}
	reader.csv.FieldsPerRecord = -1
	if err := reader.readAll(); err != nil {
		return nil, Origin{}, err
	}
	if reader.lines[csvVersion] == 0 {
		reader.addProblem(0, csvVersion, "", "a record with kind version and the exported version as name, 0 for a new table")
	}
	if err := problemsError(reader.problems); err != nil {
		return nil, Origin{}, err
	}
	reader.doc.Version = reader.origin.Version
	return reader.doc, reader.origin, nil
}

type csvReader struct {
	csv      *csv.Reader
	header   []string
	doc      *Document
	origin   Origin
	lines    map[string]int // the line of each row and of the records "version" and "draft"
	problems []Problem
}

func (r *csvReader) addProblem(line int, cell, value, expected string) {
	r.problems = append(r.problems, Problem{Cell: cell, Value: value, Expected: expected, Line: line})
}

func (r *csvReader) readAll() error {
	for first := true; len(r.problems) < maxCSVProblems; first = false {
		record, err := r.csv.Read()
		var syntax *csv.ParseError
		switch {
		case err == io.EOF && first:
			r.addProblem(1, "header", "", strings.Join(r.header, ","))
			return nil
		case err == io.EOF:
			return nil
		case errors.As(err, &syntax):
			r.addProblem(syntax.Line, fmt.Sprintf("byte %d", syntax.Column), syntax.Err.Error(), "fields separated by commas, with quotes in pairs")
			return nil
		case err != nil:
			return err
		}
		line, _ := r.csv.FieldPos(0)
		if first {
			if !slices.Equal(record, r.header) {
				r.addProblem(line, "header", strings.Join(record, ","), strings.Join(r.header, ",")+" (separated by commas, not semicolons)")
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
		r.addProblem(line, "record", fmt.Sprintf("%d fields", len(record)), fmt.Sprintf("%d fields", len(r.header)))
		return
	}
	switch kind := record[0]; kind {
	case csvVersion:
		r.readNumber(line, record, &r.origin.Version)
	case csvDraft:
		r.readNumber(line, record, &r.origin.Draft)
	case string(KindBacker), string(KindPool), string(KindQueue):
		r.readRow(line, sectionByKind(Kind(kind)), record)
	default:
		r.addProblem(line, csvKind, kind, "one of version, draft, backer, pool, queue")
	}
}

func (r *csvReader) readNumber(line int, record []string, number *int64) {
	kind, value := record[0], record[1]
	if !r.checkUnique(line, kind, value) {
		return
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 {
		r.addProblem(line, kind, value, "a whole number, 0 or greater, in column name")
	}
	*number = n
	r.rejectExtraValues(line, kind, nil, record)
}

// checkUnique records the line of a record and reports whether it is the first with this key.
func (r *csvReader) checkUnique(line int, key, value string) bool {
	if first, ok := r.lines[key]; ok {
		r.addProblem(line, key, value, fmt.Sprintf("one record of this name; line %d has it too", first))
		return false
	}
	r.lines[key] = line
	return true
}

func (r *csvReader) readRow(line int, s anySection, record []string) {
	name := record[1]
	at := cellOf(s, name, ColumnName).String()
	if !validName(name) {
		r.addProblem(line, at, name, expectName)
		return
	}
	if !r.checkUnique(line, at, name) {
		return
	}
	i := s.add(r.doc, name)
	for _, column := range s.columns() {
		value := record[slices.Index(r.header, column)]
		if !s.set(r.doc, i, column, value) {
			r.addProblem(line, cellOf(s, name, column).String(), value, s.expected(column))
		}
	}
	r.rejectExtraValues(line, cellOf(s, name, "").Row, s, record)
}

// rejectExtraValues adds a problem for each value in a column that the kind of the record does not have.
func (r *csvReader) rejectExtraValues(line int, row string, s anySection, record []string) {
	for i, column := range r.header {
		allowed := i < 2 || s != nil && slices.Contains(s.columns(), column)
		if !allowed && record[i] != "" {
			r.addProblem(line, row+"."+column, record[i], "nothing, since a "+record[0]+" has no such column")
		}
	}
}
