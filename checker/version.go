package checker

import (
	"fmt"
	"sort"
	"time"
)

// versions judges P8: an entry that serves holds each accepted version rolloutBound after its acceptance, and never
// goes back.
func (c *check) versions() {
	highest := map[string]VersionSample{}
	reported := map[string]int64{}
	seenAfter := map[string]time.Time{}
	samples := append([]VersionSample(nil), c.in.Versions...)
	sort.SliceStable(samples, func(i, j int) bool { return samples[i].Time.Before(samples[j].Time) })
	for _, s := range samples {
		seenAfter[s.Entry] = s.Time
		if !s.Serving {
			continue
		}
		c.saw(P8)
		evidence := []string{fmt.Sprintf("%s entry %s serves by version %d", s.Time.Format(timeFormat), s.Entry, s.Version)}
		if h, ok := highest[s.Entry]; ok && s.Version < h.Version {
			c.violate(P8, s.Time, append(evidence, fmt.Sprintf("%s it served by version %d", h.Time.Format(timeFormat), h.Version)),
				"entry %s went back from version %d to %d", s.Entry, h.Version, s.Version)
		}
		if h, ok := highest[s.Entry]; !ok || s.Version > h.Version {
			highest[s.Entry] = s
		}
		if a, ok := c.required(s.Time); ok && s.Version < a.Version && reported[s.Entry] < a.Version {
			reported[s.Entry] = a.Version
			c.violate(P8, s.Time, append(evidence, fmt.Sprintf("%s version %d was accepted", a.Time.Format(timeFormat), a.Version)),
				"entry %s serves by version %d, %s after version %d was accepted", s.Entry, s.Version, s.Time.Sub(a.Time).Round(time.Millisecond), a.Version)
		}
	}
	for _, a := range c.in.Accepted {
		for entry, last := range seenAfter {
			if last.Before(a.Time.Add(rolloutBound)) {
				c.report.Gaps = append(c.report.Gaps, fmt.Sprintf("P8: entry %s was not observed %s after the acceptance of version %d", entry, rolloutBound, a.Version))
			}
		}
	}
}

// required returns the highest version that must be in force at time t.
func (c *check) required(t time.Time) (Acceptance, bool) {
	var highest Acceptance
	for _, a := range c.in.Accepted {
		if t.Sub(a.Time) > rolloutBound && a.Version > highest.Version {
			highest = a
		}
	}
	return highest, highest.Version > 0
}
