package experiment

import (
	"fmt"
	"sort"
	"strings"

	"samphirepoint/checker"
	"samphirepoint/report"
)

// String returns the text form: the measures, the shares of the backers and the checks.
func (r *Result) String() string {
	var b strings.Builder
	for _, c := range r.Comparisons {
		fmt.Fprintf(&b, "%s\n", c)
		r.printShares(&b, c.Deployment)
		r.printChecks(&b, c.Deployment)
	}
	return b.String()
}

// groups returns the runs of a deployment by policy set, and the names of the sets in order of their first run.
func (r *Result) groups(deployment string) (names []string, runs map[string][]Trial) {
	runs = map[string][]Trial{}
	for _, t := range r.Runs {
		if t.Measures.Deployment != deployment {
			continue
		}
		if len(runs[t.Set]) == 0 {
			names = append(names, t.Set)
		}
		runs[t.Set] = append(runs[t.Set], t)
	}
	return names, runs
}

func (r *Result) printShares(b *strings.Builder, deployment string) {
	names, runs := r.groups(deployment)
	fmt.Fprintf(b, "slots held / weighted share while backlogged, %s: all slots mean [min, max]; slots of short work mean; backlogged seconds mean\n", deployment)
	for _, name := range names {
		byBacker := map[string][]report.BackerShare{}
		for _, t := range runs[name] {
			for _, s := range t.Shares {
				if s.BackloggedSeconds > 0 {
					byBacker[s.Backer] = append(byBacker[s.Backer], s)
				}
			}
		}
		backers := make([]string, 0, len(byBacker))
		for backer := range byBacker {
			backers = append(backers, backer)
		}
		sort.Strings(backers)
		for _, backer := range backers {
			list := byBacker[backer]
			lowest, highest := list[0].Slots, list[0].Slots
			var all, short, seconds float64
			for _, s := range list {
				lowest, highest = min(lowest, s.Slots), max(highest, s.Slots)
				all, short, seconds = all+s.Slots, short+s.ShortSlots, seconds+s.BackloggedSeconds
			}
			n := float64(len(list))
			fmt.Fprintf(b, "  %-25s %-16s weight %5.1f  %.2f [%.2f, %.2f]  %.2f  %6.1f s  (n=%d)\n",
				name, backer, list[0].Weight, all/n, lowest, highest, short/n, seconds/n, len(list))
		}
	}
}

func (r *Result) printChecks(b *strings.Builder, deployment string) {
	names, runs := r.groups(deployment)
	fmt.Fprintf(b, "violations / checks, %s\n", deployment)
	for _, name := range names {
		violations, checks := map[checker.Property]int{}, map[checker.Property]int{}
		for _, t := range runs[name] {
			for p, n := range t.ViolationCounts {
				violations[p] += n
			}
			for p, n := range t.CheckCounts {
				checks[p] += n
			}
		}
		fmt.Fprintf(b, "  %-25s", name)
		for _, p := range []checker.Property{checker.P1, checker.P2, checker.P3, checker.P4, checker.P5, checker.P6, checker.P7, checker.P8} {
			fmt.Fprintf(b, " %s %d/%d", p, violations[p], checks[p])
		}
		b.WriteByte('\n')
	}
}
