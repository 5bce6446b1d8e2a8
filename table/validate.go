package table

import (
	"fmt"
	"math"
	"slices"
	"strconv"
)

// Validate checks the whole document and returns an *InvalidError with every problem, or nil.
func Validate(d *Document, size FleetSize) error {
	return problemsError(append(documentProblems(d), sizeProblems(d, size)...))
}

// ValidateChange validates a change of an accepted document. It ignores problems with the size of
// the fleet that the change does not make worse: when instances fail or move, such problems arise in
// cells that the operator did not edit, and they must not block other edits.
func ValidateChange(before, after *Document, size FleetSize) error {
	excessBefore := map[string]int{}
	for _, p := range sizeProblems(before, size) {
		excessBefore[p.Cell] = p.Excess
	}
	problems := documentProblems(after)
	for _, p := range sizeProblems(after, size) {
		if p.Excess > excessBefore[p.Cell] {
			problems = append(problems, p)
		}
	}
	return problemsError(problems)
}

// documentProblems returns the problems that do not depend on the size of the fleet.
func documentProblems(d *Document) []Problem {
	var problems []Problem
	for _, s := range sections {
		problems = append(problems, sectionProblems(d, s)...)
	}
	problems = append(problems, referenceProblems(d)...)
	return append(problems, unusedPoolProblems(d)...)
}

// sectionProblems checks the number of rows, the names and each cell on its own.
func sectionProblems(d *Document, s anySection) []Problem {
	n := s.count(d)
	if n == 0 || n > maxRowsOfSection {
		return []Problem{{Cell: cellOf(s, "*", ColumnName).String(), Value: fmt.Sprintf("%d rows", n),
			Expected: fmt.Sprintf("from 1 to %d rows", maxRowsOfSection)}}
	}
	var problems []Problem
	first := map[string]int{}
	for i := range n {
		name := s.name(d, i)
		address := cellOf(s, name, ColumnName).String()
		if !validName(name) {
			problems = append(problems, Problem{Cell: address, Value: name, Expected: expectName})
		}
		if row, ok := first[name]; ok {
			problems = append(problems, Problem{Cell: address, Value: name,
				Expected: fmt.Sprintf("a unique name; rows %d and %d of the %ss have this one", row+1, i+1, s.kind())})
			continue
		}
		first[name] = i
		problems = append(problems, cellProblems(d, s, i)...)
	}
	return problems
}

// cellProblems sets each value of a row on a scratch row, which applies the checks of the column.
func cellProblems(d *Document, s anySection, i int) []Problem {
	var problems []Problem
	var scratch Document
	row := s.add(&scratch, "scratch")
	for _, column := range s.columns() {
		if value := s.get(d, i, column); !s.set(&scratch, row, column, value) {
			problems = append(problems, Problem{Cell: cellOf(s, s.name(d, i), column).String(), Value: value, Expected: s.expected(column)})
		}
	}
	return problems
}

// referenceProblems finds queues that refer to unknown pools or backers.
func referenceProblems(d *Document) []Problem {
	var problems []Problem
	for _, q := range d.Queues {
		for _, pool := range q.Pools {
			if _, ok := d.Pool(pool); !ok {
				problems = append(problems, Problem{Cell: cellOf(queueSection, q.Name, "pools").String(), Value: pool, Expected: "the name of a pool in the table"})
			}
		}
		for _, backer := range q.Backers {
			if _, ok := d.Backer(backer); !ok {
				problems = append(problems, Problem{Cell: cellOf(queueSection, q.Name, "backers").String(), Value: backer, Expected: "the name of a backer in the table"})
			}
		}
	}
	return problems
}

func unusedPoolProblems(d *Document) []Problem {
	var problems []Problem
	for _, p := range d.Pools {
		used := slices.ContainsFunc(d.Queues, func(q Queue) bool { return slices.Contains(q.Pools, p.Name) })
		if !used && !p.Spare {
			problems = append(problems, Problem{Cell: cellOf(poolSection, p.Name, "spare").String(), Value: "false",
				Expected: "true, or a queue that lists the pool"})
		}
	}
	return problems
}

// sizeProblems returns the problems that depend on the size of the fleet. There are none if it is unknown.
func sizeProblems(d *Document, size FleetSize) []Problem {
	if size.Slots() == 0 {
		return nil
	}
	problems := quotaProblems(d, size)
	shares, users := Shares(d, size), poolBackers(d, false)
	for i, b := range d.Backers {
		problems = append(problems, limitProblems(b, shares[b.Name])...)
		problems = append(problems, budgetProblems(d, i, users, size)...)
	}
	return problems
}

func quotaProblems(d *Document, size FleetSize) []Problem {
	sum := quotaSum(d)
	excess := sum - size.Slots()
	if excess <= 0 {
		return nil
	}
	return []Problem{{Cell: "*.nominalQuota", Value: strconv.Itoa(sum), Excess: excess,
		Expected: fmt.Sprintf("a sum of at most %d, the slots of the fleet", size.Slots())}}
}

func quotaSum(d *Document) int {
	sum := 0
	for _, b := range d.Backers {
		sum += b.NominalQuota
	}
	return sum
}

// limitProblems finds a limit below the backer's share, with which its weight has no effect.
func limitProblems(b Backer, share float64) []Problem {
	excess := int(math.Floor(share)) - b.Limit()
	if excess <= 0 {
		return nil
	}
	return []Problem{{Cell: cellOf(backerSection, b.Name, "borrowingLimit").String(), Value: strconv.Itoa(b.BorrowingLimit), Excess: excess,
		Expected: fmt.Sprintf("at least %d, or a lower weight: the share is %.1f slots and nominalQuota is %d", b.BorrowingLimit+excess, share, b.NominalQuota)}}
}

// budgetProblems finds a budget that would allow all instances of a pool to be unavailable at once. It
// skips spare pools, since moves empty them, and pools of one instance, which could never be
// maintained otherwise.
func budgetProblems(d *Document, row int, users map[string][]bool, size FleetSize) []Problem {
	b := d.Backers[row]
	smallest, pool := math.MaxInt, ""
	for _, p := range d.Pools {
		n := size[p.Name].Instances
		used := users[p.Name] != nil && users[p.Name][row]
		if used && !p.Spare && n > 1 && n < smallest {
			smallest, pool = n, p.Name
		}
	}
	if pool == "" || b.MaxUnavailable < smallest {
		return nil
	}
	return []Problem{{Cell: cellOf(backerSection, b.Name, "maxUnavailable").String(), Value: strconv.Itoa(b.MaxUnavailable), Excess: b.MaxUnavailable - smallest + 1,
		Expected: fmt.Sprintf("at most %d: pool %s has %d instances", smallest-1, pool, smallest)}}
}
