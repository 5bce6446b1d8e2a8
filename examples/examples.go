// Package examples embeds the sample settings and tables, so that the binary can start a deployment without files.
package examples

import (
	"embed"
	"fmt"

	"go.yaml.in/yaml/v3"

	"samphirepoint/table"
)

//go:embed inzira/*.yaml hraunvik/*.yaml
var files embed.FS

// Table returns the initial table of a deployment: inzira or hraunvik.
func Table(deployment string) (*table.Document, error) {
	data, err := files.ReadFile(deployment + "/table.yaml")
	if err != nil {
		return nil, fmt.Errorf("unknown deployment %q, expected inzira or hraunvik", deployment)
	}
	var doc table.Document
	if err := yaml.Unmarshal(data, &doc); err != nil {
		return nil, fmt.Errorf("%s/table.yaml: %w", deployment, err)
	}
	return &doc, nil
}
