package settings

import (
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Errors lists all errors of a file, sorted by line.
type Errors []*Error

// Error describes one invalid setting or a syntax error.
type Error struct {
	File string
	Line int
	// Key is the path of the key, such as limits.maxBodyBytes; empty for syntax errors.
	Key string
	// Problem describes what is invalid, Expected what is valid; Expected may be empty.
	Problem  string
	Expected string
}

func (e *Error) Error() string {
	text := fmt.Sprintf("%s:%d: ", e.File, e.Line)
	if e.Key != "" {
		text += e.Key + ": "
	}
	text += e.Problem
	if e.Expected != "" {
		text += ", expected " + e.Expected
	}
	return text
}

func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// decoder decodes the YAML nodes and collects errors.
type decoder struct {
	file   string
	errors Errors
	// lines maps each key that was decoded to its line, for the validation after decoding.
	lines map[string]int
}

// field is a permitted key of a mapping.
type field struct {
	key      string
	required string // the expected value, reported if the key is missing; empty for optional keys
	decode   func(path string, n *yaml.Node)
}

func (d *decoder) addError(line int, key, expected, problem string, args ...any) {
	d.errors = append(d.errors, &Error{
		File: d.file, Line: max(line, 1), Key: key,
		Problem: fmt.Sprintf(problem, args...), Expected: expected,
	})
}

// document returns the root node, or nil after adding an error if there is none.
func (d *decoder) document(data []byte) *yaml.Node {
	dec := yaml.NewDecoder(strings.NewReader(string(data)))
	var doc yaml.Node
	if err := dec.Decode(&doc); err != nil {
		if errors.Is(err, io.EOF) {
			d.addError(1, "", "a mapping of settings", "file is empty")
			return nil
		}
		d.addSyntaxError(err)
		return nil
	}
	var second yaml.Node
	switch err := dec.Decode(&second); {
	case errors.Is(err, io.EOF):
	case err != nil:
		d.addSyntaxError(err)
	default:
		d.addError(second.Line, "", "one document per file", "a second YAML document starts here")
	}
	if len(doc.Content) == 0 {
		d.addError(1, "", "a mapping of settings", "file is empty")
		return nil
	}
	return doc.Content[0]
}

var syntaxLine = regexp.MustCompile(`^yaml: line (\d+): `)

func (d *decoder) addSyntaxError(err error) {
	text, line := err.Error(), 1
	if m := syntaxLine.FindStringSubmatch(text); m != nil {
		line, _ = strconv.Atoi(m[1])
		text = strings.TrimPrefix(text, m[0])
	}
	d.addError(line, "", "", "%s", strings.TrimPrefix(text, "yaml: "))
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// mapping decodes n with the given permitted keys.
func (d *decoder) mapping(path string, n *yaml.Node, fields ...field) {
	if n.Kind != yaml.MappingNode {
		d.addError(n.Line, path, "a mapping", "is %s", describe(n))
		return
	}
	seen := map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		full := joinPath(path, key.Value)
		if first, dup := seen[key.Value]; dup {
			d.addError(key.Line, full, "one entry", "duplicate key, first set on line %d", first)
			continue
		}
		seen[key.Value] = key.Line
		index := slices.IndexFunc(fields, func(f field) bool { return f.key == key.Value })
		if index < 0 || key.Kind != yaml.ScalarNode {
			d.addError(key.Line, full, "one of "+keyNames(fields), "unknown key")
			continue
		}
		d.lines[full] = key.Line
		fields[index].decode(full, value)
	}
	for _, f := range fields {
		if _, ok := seen[f.key]; !ok && f.required != "" {
			d.addError(n.Line, joinPath(path, f.key), f.required, "missing")
		}
	}
}

func keyNames(fields []field) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.key
	}
	return strings.Join(names, ", ")
}

func describe(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	case yaml.AliasNode:
		return "an alias"
	}
	if n.ShortTag() == "!!null" {
		return "empty"
	}
	return strconv.Quote(n.Value)
}

// scalar returns the value of a non-empty scalar.
func (d *decoder) scalar(path string, n *yaml.Node, expected string) (string, bool) {
	if n.Kind != yaml.ScalarNode || n.ShortTag() == "!!null" || n.Value == "" {
		d.addError(n.Line, path, expected, "is %s", describe(n))
		return "", false
	}
	return n.Value, true
}

// text decodes a scalar that passes check; check may be nil.
func (d *decoder) text(target *string, expected string, check func(string) error) func(string, *yaml.Node) {
	return func(path string, n *yaml.Node) {
		value, ok := d.scalar(path, n, expected)
		if !ok {
			return
		}
		if check != nil {
			if err := check(value); err != nil {
				d.addError(n.Line, path, expected, "%s", err)
				return
			}
		}
		*target = value
	}
}

// list decodes a sequence of distinct scalars that pass check.
func (d *decoder) list(target *[]string, expected string, check func(string) error) func(string, *yaml.Node) {
	return func(path string, n *yaml.Node) {
		if n.Kind != yaml.SequenceNode {
			d.addError(n.Line, path, "a list of "+expected, "is %s", describe(n))
			return
		}
		var values []string
		for i, item := range n.Content {
			var value string
			itemPath := fmt.Sprintf("%s[%d]", path, i)
			d.text(&value, expected, check)(itemPath, item)
			if value == "" {
				continue
			}
			if slices.Contains(values, value) {
				d.addError(item.Line, itemPath, "each entry once", "%q is listed twice", value)
				continue
			}
			values = append(values, value)
		}
		*target = values
	}
}

// choice decodes one of the given values.
func (d *decoder) choice(target *string, values ...string) func(string, *yaml.Node) {
	return d.text(target, strings.Join(values, " or "), func(s string) error {
		if !slices.Contains(values, s) {
			return fmt.Errorf("unknown value %q", s)
		}
		return nil
	})
}

// duration decodes a positive duration with a unit.
func (d *decoder) duration(target *time.Duration) func(string, *yaml.Node) {
	const expected = "a positive number with unit ms, s, m or h, such as 500ms"
	return func(path string, n *yaml.Node) {
		value, ok := d.scalar(path, n, expected)
		if !ok {
			return
		}
		v, err := time.ParseDuration(value)
		if err != nil || v <= 0 {
			d.addError(n.Line, path, expected, "%q is not a valid duration", value)
			return
		}
		*target = v
	}
}

// byteUnits lists the accepted units of sizes.
var byteUnits = []struct {
	suffix string
	factor int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}, {"", 1}}

// size decodes a positive number of bytes.
func (d *decoder) size(target *int64) func(string, *yaml.Node) {
	const expected = "a positive number of bytes with unit B, KiB, MiB or GiB, such as 8MiB"
	return func(path string, n *yaml.Node) {
		value, ok := d.scalar(path, n, expected)
		if !ok {
			return
		}
		for _, unit := range byteUnits {
			digits, found := strings.CutSuffix(value, unit.suffix)
			if !found {
				continue
			}
			v, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 32)
			if err != nil || v <= 0 {
				break
			}
			*target = v * unit.factor
			return
		}
		d.addError(n.Line, path, expected, "%q is not a valid size", value)
	}
}

// count decodes an integer of at least 1.
func (d *decoder) count(target *int) func(string, *yaml.Node) {
	return func(path string, n *yaml.Node) {
		value, ok := d.scalar(path, n, "a whole number of at least 1")
		if !ok {
			return
		}
		v, err := strconv.Atoi(value)
		if err != nil || v < 1 {
			d.addError(n.Line, path, "a whole number of at least 1", "%q is not valid", value)
			return
		}
		*target = v
	}
}

// weight decodes a finite number of at least 0.
func (d *decoder) weight(target *float64) func(string, *yaml.Node) {
	return func(path string, n *yaml.Node) {
		value, ok := d.scalar(path, n, "a number of at least 0")
		if !ok {
			return
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= 1e9) {
			d.addError(n.Line, path, "a number between 0 and 1e9", "%q is not valid", value)
			return
		}
		*target = v
	}
}

// section decodes a nested mapping.
func (d *decoder) section(fields ...field) func(string, *yaml.Node) {
	return func(path string, n *yaml.Node) { d.mapping(path, n, fields...) }
}
