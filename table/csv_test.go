package table_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"samphirepoint/table"
)

func export(d *table.Document, o table.Origin) string {
	var b bytes.Buffer
	if err := table.WriteCSV(&b, d, o); err != nil {
		panic(err)
	}
	return b.String()
}

// A file saved by a spreadsheet program, with a byte order mark and CRLF line ends, must be read as the
// same document.
func TestCSVRoundTrip(t *testing.T) {
	g := NewWithT(t)
	text := export(sample(), table.Origin{Version: 4, Draft: 9})
	d, origin, err := table.ReadCSV(strings.NewReader("\xef\xbb\xbf" + strings.ReplaceAll(text, "\n", "\r\n")))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(origin).To(Equal(table.Origin{Version: 4, Draft: 9}))
	g.Expect(table.Diff(sample(), d)).To(BeEmpty())
}

// Every malformed line must be reported with its number, and no value may be guessed.
func TestCSVProblemsNameLines(t *testing.T) {
	g := NewWithT(t)
	text := export(sample(), table.Origin{Version: 4})
	text = strings.Replace(text, "inzira,2,", "inzira,two,", 1)
	text = strings.Replace(text, "backer,umoja,", "baker,umoja,", 1)
	text += "pool,pumps,,,,,,true,,,\npool,new,5,,,,,true,,,\nqueue,x\nbacker,=cmd(),1,1,1,1,,,,,\n"
	_, _, err := table.ReadCSV(strings.NewReader(text))
	g.Expect(err).To(HaveOccurred())
	g.Expect(strings.Split(err.Error(), "\n")).To(ConsistOf(
		HavePrefix(`line 3: inzira.weight = "two"`), HavePrefix(`line 4: kind = "baker"`), HavePrefix(`line 10: pools/pumps.name = "pumps": expected one record of this name; line 5`),
		HavePrefix(`line 11: pools/new.weight = "5": expected nothing`), HavePrefix(`line 12: record = "2 fields"`), HavePrefix(`line 13: =cmd().name`)))
	for _, broken := range []string{"", "kind;name", strings.Replace(text, "version,4", "version,-4", 1), export(sample(), table.Origin{}) + "\"x"} {
		_, _, err := table.ReadCSV(strings.NewReader(broken))
		g.Expect(err).To(BeAssignableToTypeOf(&table.InvalidError{}), broken)
	}
	header, _, _ := strings.Cut(text, "\n")
	_, _, err = table.ReadCSV(strings.NewReader(header + "\n"))
	g.Expect(problemCells(g, err)).To(ConsistOf("version"))
}

// An import must change only the cells that differ from the exported state: edits that others have
// made since are kept, and edits of the same cell conflict.
func TestImportMergesWithLaterEdits(t *testing.T) {
	g := NewWithT(t)
	s, _ := newStore(t)
	text := export(sample(), table.Origin{Version: 1})
	_, err := s.SetCells(ctx, "e1", "aline", []table.Edit{edit("umoja.weight", "1", "3")})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.Accept(ctx, table.AcceptRequest{Operation: "a1", Operator: "aline", Reason: "more for umoja"})
	g.Expect(err).NotTo(HaveOccurred())

	doc, origin, err := table.ReadCSV(strings.NewReader(strings.Replace(text, "inzira,2,", "inzira,4,", 1)))
	g.Expect(err).NotTo(HaveOccurred())
	draft, err := s.Import(ctx, "i1", "ben", doc, origin)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(draft.Document.Value(edit("umoja.weight", "", "").Cell)).To(Equal("3"))
	g.Expect(draft.Document.Value(edit("inzira.weight", "", "").Cell)).To(Equal("4"))

	doc, origin, err = table.ReadCSV(strings.NewReader(strings.Replace(text, "umoja,1,", "umoja,9,", 1)))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.Import(ctx, "i2", "ben", doc, origin)
	g.Expect(err).To(MatchError(ContainSubstring(`umoja.weight: aline changed it from "1" to "3" in version 2`)))
	_, err = s.Import(ctx, "i3", "ben", doc, table.Origin{Version: 2, Draft: draft.Version + 1})
	g.Expect(err).To(BeAssignableToTypeOf(&table.DraftChangedError{}))
}

func FuzzReadCSV(f *testing.F) {
	text := export(sample(), table.Origin{Version: 4})
	for _, seed := range []string{text, "", "kind,name\n", text + "pool,pumps,,,,,,true,,,\n", strings.Replace(text, "inzira,2", "inzira,1e-3", 1), text + `queue,"q""",,,,,,,a a,,0`} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		d, origin, err := table.ReadCSV(strings.NewReader(text))
		if err != nil {
			return
		}
		again, o, err := table.ReadCSV(strings.NewReader(export(d, origin)))
		if err != nil || o != origin || fmt.Sprint(again) != fmt.Sprint(d) {
			t.Fatalf("%q was read as %v, written and read as %v: %v", text, d, again, err)
		}
	})
}
