package command

import (
	"encoding/json"
	"io"
)

// printValue writes v as JSON if asJSON is set, and calls asText to write it otherwise.
func printValue(w io.Writer, asJSON bool, v any, asText func(io.Writer)) error {
	if asJSON {
		return printJSON(w, v)
	}
	asText(w)
	return nil
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
