package engine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"samphirepoint/jsonenc"
)

const (
	// maxTaskRecordBytes bounds the encoded record of one task: two runs with IDs of their workers as long as the store's keys may be,
	// the last failed runs, and a checkpoint.
	maxTaskRecordBytes = 768
	// maxCheckpointBytes is the length up to which checkpoints are kept. A task with a longer one restarts from its beginning.
	maxCheckpointBytes = 128
)

// tasksPerRow returns how many task records certainly fit into a row with room for the rest of a job's record.
func (o *Options) tasksPerRow() int {
	return max(1, (o.RowBytes-maxTaskRecordBytes)/maxTaskRecordBytes)
}

// needsSegments reports whether the records of all tasks that the job may have at once don't fit into one row.
func (s *Spec) needsSegments(tasksPerRow int) bool {
	return s.tasks() > tasksPerRow/min(s.Occurrences(), maxOpenOccurrences)
}

// segmentID identifies a segment: a range of the tasks of one occurrence whose records have a row of their own.
type segmentID struct {
	occ, number int
}

// segment is what is known about the row of a segment in each part of the store.
type segment struct {
	// revs are the revisions of the rows in the primary and in the standby part, 0 if there is none.
	revs [2]int64
	// sum is the checksum of the task records in the newest of the rows, 0 if it isn't known.
	sum uint64
}

// SegmentRecord is the row of a segment. Of two copies, the one with the higher Rev is the newer.
type SegmentRecord struct {
	Rev   int64        `json:"v,omitempty"`
	Tasks []TaskRecord `json:"k,omitempty"`
}

// SegmentChange is a segment to be written, or removed if Value is nil. Name identifies its row among all of a part.
type SegmentChange struct {
	Name  string
	Value []byte

	id  segmentID
	sum uint64
}

// segmentName returns the name of a segment's row: JOB.OCCURRENCE.NUMBER.
func (j *Job) segmentName(id segmentID) string {
	return j.Spec.ID + "." + strconv.Itoa(id.occ) + "." + strconv.Itoa(id.number)
}

// JobOfRow returns the ID of the job that a row with the given name belongs to, and whether the row is that of a segment.
func JobOfRow(name string) (job string, isSegment bool) {
	job, _, isSegment = strings.Cut(name, ".")
	return job, isSegment
}

func parseSegmentName(name string) (segmentID, bool) {
	_, rest, _ := strings.Cut(name, ".")
	occ, number, _ := strings.Cut(rest, ".")
	var id segmentID
	var err1, err2 error
	id.occ, err1 = strconv.Atoi(occ)
	id.number, err2 = strconv.Atoi(number)
	return id, err1 == nil && err2 == nil
}

// encodeTasks returns the list of task records as it is stored.
func encodeTasks(list []TaskRecord) []byte {
	b := make([]byte, 0, 128*len(list))
	for i := range list {
		b = list[i].append(append(b, separator(i, "[")...))
	}
	return closeList(b, len(list))
}

func encodeSegment(rev int64, tasks []byte) []byte {
	b := jsonenc.Int([]byte(`{"v":`), rev)
	if len(tasks) > 0 {
		b = append(append(b, `,"k":`...), tasks...)
	}
	return append(b, '}')
}

// addSegments adds the segments that differ from what is stored to a change, as far as the given numbers of entries and bytes allow.
// The change is partial if some are left.
func (j *Job) addSegments(ch *Change, entries, maxBytes int) {
	for sc := range j.changedSegments(ch.part) {
		if entries == 0 || maxBytes <= 0 {
			ch.Partial = true
			return
		}
		ch.Segments = append(ch.Segments, sc)
		entries--
		maxBytes -= len(sc.Value)
	}
}

// changedSegments yields the segments whose rows are to be written or removed.
func (j *Job) changedSegments(part Part) func(yield func(SegmentChange) bool) {
	return func(yield func(SegmentChange) bool) {
		for _, o := range j.occurrences {
			if o == nil || len(o.tasks) == 0 {
				continue
			}
			for k := 0; k*j.segmentTasks < len(o.tasks); k++ {
				if sc, ok := j.segmentChange(segmentID{occ: o.index, number: k}, part); ok && !yield(sc) {
					return
				}
			}
		}
		// What is left are rows of occurrences that ended under a former owner.
		for _, id := range slices.SortedFunc(maps.Keys(j.segments), compareSegments) {
			if id.occ < len(j.occurrences) && j.occurrences[id.occ] != nil && len(j.occurrences[id.occ].tasks) > 0 {
				continue
			}
			if sc, ok := j.emptySegment(id, part); ok && !yield(sc) {
				return
			}
		}
	}
}

func compareSegments(a, b segmentID) int {
	return cmp.Or(cmp.Compare(a.occ, b.occ), cmp.Compare(a.number, b.number))
}

// segmentChange returns the change of one segment, and false if its row is up to date.
func (j *Job) segmentChange(id segmentID, part Part) (SegmentChange, bool) {
	r := Record{State: j.state}
	first := id.number * j.segmentTasks
	tasks := j.occurrences[id.occ].tasks
	for _, t := range tasks[first:min(first+j.segmentTasks, len(tasks))] {
		r.addTask(t)
	}
	if len(r.Tasks) == 0 {
		return j.emptySegment(id, part)
	}
	encoded := encodeTasks(r.Tasks)
	sum := xxhash.Sum64(encoded)
	if s := j.segments[id]; s != nil && s.sum == sum && (part == Standby || s.revs[Primary] >= s.revs[Standby]) {
		return SegmentChange{}, false
	}
	return SegmentChange{Name: j.segmentName(id), Value: encodeSegment(j.rev, encoded), id: id, sum: sum}, true
}

// emptySegment returns the change of a segment without task records: its row is removed. While the standby part has a copy, the row is
// written without records, as the copy would else be the newest.
func (j *Job) emptySegment(id segmentID, part Part) (SegmentChange, bool) {
	s := j.segments[id]
	switch sum := xxhash.Sum64(nil); {
	case s == nil:
		return SegmentChange{}, false
	case part == Primary && s.revs[Standby] == 0:
		return SegmentChange{Name: j.segmentName(id), id: id}, true
	case s.sum == sum && (part == Standby || s.revs[Primary] >= s.revs[Standby]):
		return SegmentChange{}, false
	default:
		return SegmentChange{Name: j.segmentName(id), Value: encodeSegment(j.rev, nil), id: id, sum: sum}, true
	}
}

// noteSegments records that a part has the segments of a change.
func (j *Job) noteSegments(ch *Change) {
	for _, sc := range ch.Segments {
		s := j.segments[sc.id]
		if s == nil {
			s = &segment{}
			j.segments[sc.id] = s
		}
		if sc.Value == nil {
			s.revs[ch.part] = 0
			if s.revs == [2]int64{} {
				delete(j.segments, sc.id)
			}
			continue
		}
		if ch.rev >= max(s.revs[Primary], s.revs[Standby]) {
			s.sum = sc.sum
		}
		s.revs[ch.part] = max(s.revs[ch.part], ch.rev)
	}
}

// forgetSums makes the next change hold the segments of a change whose transaction has no outcome.
func (j *Job) forgetSums(ch *Change) {
	for _, sc := range ch.Segments {
		if s := j.segments[sc.id]; s != nil {
			s.sum = 0
		}
	}
}

// loadSegments adds the task records of the newest copies to the job's record, and returns what is known of the rows.
func loadSegments(rec *Record, copies *Copies) map[segmentID]*segment {
	out := map[segmentID]*segment{}
	newest := map[segmentID]SegmentRecord{}
	for part, list := range []map[string]SegmentRecord{copies.PrimarySegments, copies.StandbySegments} {
		for name, r := range list {
			id, ok := parseSegmentName(name)
			if !ok {
				continue
			}
			s := out[id]
			if s == nil {
				s = &segment{}
				out[id] = s
			}
			s.revs[part] = max(r.Rev, 1)
			if s.revs[part] > s.revs[1-part] {
				newest[id] = r
			}
		}
	}
	rec.Tasks = slices.Clone(rec.Tasks)
	for _, id := range slices.SortedFunc(maps.Keys(newest), compareSegments) {
		rec.Tasks = append(rec.Tasks, newest[id].Tasks...)
		out[id].sum = xxhash.Sum64(encodeTasks(newest[id].Tasks))
	}
	return out
}

// newerInStandby reports whether some row of the job is newer in the standby part than in the primary one.
func (j *Job) newerInStandby() bool {
	if j.inStandby > j.inPrimary {
		return true
	}
	for _, s := range j.segments {
		if s.revs[Standby] > s.revs[Primary] {
			return true
		}
	}
	return false
}

// Leftover names rows of a job in the standby part that the primary part has newer copies of. Record is set if the job's record and spec
// are among them.
type Leftover struct {
	Job      *Job
	Segments []string
	Record   bool

	ids []segmentID
}

// leftover returns the rows of a job in the standby part, at most max entries of a transaction.
func (j *Job) leftover(max int) Leftover {
	out := Leftover{Job: j}
	for _, id := range slices.SortedFunc(maps.Keys(j.segments), compareSegments) {
		if j.segments[id].revs[Standby] == 0 {
			continue
		}
		if len(out.ids) == max {
			return out
		}
		out.ids = append(out.ids, id)
		out.Segments = append(out.Segments, j.segmentName(id))
	}
	out.Record = len(out.ids)+recordEntries <= max
	return out
}

// recordEntries is the number of entries for a job's record and spec.
const recordEntries = 2

// Entries returns the number of transaction entries that the removal of the rows takes.
func (l *Leftover) Entries() int {
	if l.Record {
		return len(l.Segments) + recordEntries
	}
	return len(l.Segments)
}
