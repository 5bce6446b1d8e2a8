package jsonenc

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against records that other readers can't decode: names with quotes, control characters or invalid UTF-8.
func TestStringsAreEncodedAsByEncodingJSON(t *testing.T) {
	g := NewWithT(t)
	for _, s := range []string{"", "00000bb87a21d94b", `a"b\c`, "line\nfeed", "<a&b>", "Burðargjald", "\x7f\x00", "bad \xff utf", "\u2028"} {
		want, err := json.Marshal(s)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(String(nil, s))).To(Equal(string(want)))
	}
	g.Expect(string(Int([]byte("x"), -12))).To(Equal("x-12"))
}
