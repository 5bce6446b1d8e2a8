package checker

import (
	"fmt"
	"sort"
	"time"
)

// checkVersions checks P8: rolloutBound after the acceptance of a version, every entry that serves uses that version or a
// later one, and no entry that serves returns to an earlier version.
func (c *check) checkVersions() {
	highest := map[string]VersionSample{}
	reported := map[string]int64{}
	lastSampled := map[string]time.Time{}
	samples := append([]VersionSample(nil), c.in.Versions...)
	sort.SliceStable(samples, func(i, j int) bool { return samples[i].Time.Before(samples[j].Time) })
	for _, s := range samples {
		lastSampled[s.Entry] = s.Time
		if !s.Serving {
			continue
		}
		c.countCheck(P8)
		evidence := []string{fmt.Sprintf("%s entry %s serves with version %d", s.Time.Format(timeFormat), s.Entry, s.Version)}
		if h, ok := highest[s.Entry]; ok && s.Version < h.Version {
			c.addViolation(P8, s.Time, append(evidence, fmt.Sprintf("%s it served with version %d", h.Time.Format(timeFormat), h.Version)),
				"entry %s returned from version %d to %d", s.Entry, h.Version, s.Version)
		}
		if h, ok := highest[s.Entry]; !ok || s.Version > h.Version {
			highest[s.Entry] = s
		}
		if a, ok := c.required(s.Time); ok && s.Version < a.Version && reported[s.Entry] < a.Version {
			reported[s.Entry] = a.Version
			c.addViolation(P8, s.Time, append(evidence, fmt.Sprintf("%s version %d was accepted", a.Time.Format(timeFormat), a.Version)),
				"entry %s serves with version %d, %s after version %d was accepted", s.Entry, s.Version, s.Time.Sub(a.Time).Round(time.Millisecond), a.Version)
		}
	}
	for _, a := range c.in.Accepted {
		for entry, last := range lastSampled {
			if last.Before(a.Time.Add(rolloutBound)) {
				c.report.Gaps = append(c.report.Gaps, fmt.Sprintf("P8: entry %s was not observed %s after the acceptance of version %d", entry, rolloutBound, a.Version))
			}
		}
	}
}

// required returns the acceptance of the highest version that must be in force at time t.
func (c *check) required(t time.Time) (Acceptance, bool) {
	var highest Acceptance
	for _, a := range c.in.Accepted {
		if t.Sub(a.Time) > rolloutBound && a.Version > highest.Version {
			highest = a
		}
	}
	return highest, highest.Version > 0
}
