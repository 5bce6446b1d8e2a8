package checker

import (
	"encoding/json"
	"fmt"
	"strings"

	"samphirepoint/standin/platformd"
)

// instancePrefix is the prefix of instance rows (design document, section 3.4).
const instancePrefix = "instances/"

// instanceRow has the fields of an instance row that the checks use.
type instanceRow struct {
	Address string `json:"address"`
	Pool    string `json:"pool"`
	State   string `json:"state"`
}

// PoolSamples extracts the instance rows from the history of the table (platformd.Options.OnChange).
func PoolSamples(changes []platformd.Change) ([]PoolSample, error) {
	var samples []PoolSample
	for _, ch := range changes {
		id, ok := strings.CutPrefix(ch.Row.Key, instancePrefix)
		if !ok {
			continue
		}
		s := PoolSample{Time: ch.Time, Instance: id, Deleted: ch.Row.Version == 0}
		if !s.Deleted {
			var row instanceRow
			if err := json.Unmarshal(ch.Row.Value, &row); err != nil {
				return nil, fmt.Errorf("row %s: %w", ch.Row.Key, err)
			}
			s.Address, s.Pool, s.State = row.Address, row.Pool, row.State
		}
		samples = append(samples, s)
	}
	return samples, nil
}
