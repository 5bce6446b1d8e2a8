// Package jsonenc appends JSON values to a buffer without reflection, for records that are encoded on each change. The result is the
// same as that of encoding/json.
//
//	b = jsonenc.Int(append(b, `{"n":`...), 7)
//	b = jsonenc.String(append(b, `,"s":`...), "text")
package jsonenc

import (
	"encoding/json"
	"strconv"
)

// String appends a JSON string.
func String(b []byte, s string) []byte {
	for i := range len(s) {
		c := s[i]
		if c < ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			quoted, err := json.Marshal(s)
			if err != nil {
				panic(err) // A string can always be encoded.
			}
			return append(b, quoted...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

// Int appends a number.
func Int(b []byte, n int64) []byte { return strconv.AppendInt(b, n, 10) }
