package experiment

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"samphirepoint/sleep"
	"samphirepoint/standin"
)

const (
	// idleWarmUp lets start-up work, the first gossip and the reads of all rows end before an idle entry is measured.
	idleWarmUp = 3 * time.Second
	// ownersAtFullSize is the number of entries among which the pools are divided; each entry owns its part of them.
	ownersAtFullSize = 7
)

// IdleResult holds the resource usage of an idle entry at one size of the fleet.
type IdleResult struct {
	testbedSize
	// Holder reports that the entry holds the fleet lease; it then probes the workers, whose stand-in is in the same process.
	Holder  bool    `json:"holder"`
	Seconds float64 `json:"seconds"`
	// PoolsInUse is the number of pools whose queue and workers the entry keeps in memory.
	PoolsInUse int `json:"poolsInUse"`
	// CorePercent is the CPU time of the process in percent of a core. It includes the stand-in platform, which serves about
	// four reads a second.
	CorePercent float64 `json:"corePercent"`
	// HeapMB is the growth of the heap in use since before the entry's start, after a garbage collection.
	HeapMB float64 `json:"heapMB"`
	// BytesIn and BytesOut are control traffic per second with the platform, and with peers if there are any.
	BytesIn  float64 `json:"bytesInPerSecond"`
	BytesOut float64 `json:"bytesOutPerSecond"`
	Reads    float64 `json:"tableReadsPerSecond"`
	Writes   float64 `json:"tableWritesPerSecond"`
	// DocumentBytes and RowsBytes are the stored sizes of the table document and of the instance rows, ListBytes is the size
	// of one reply of the instance list.
	DocumentBytes int `json:"documentBytes"`
	RowsBytes     int `json:"rowsBytes"`
	ListBytes     int `json:"listBytes"`
}

// capacitySizes returns sizes that vary one dimension at a time from the size of the design document, section 1.4.
func capacitySizes() []testbedSize {
	return []testbedSize{
		{48, 67, 210}, {200, 67, 210}, {800, 67, 210}, {1500, 67, 210},
		{1500, 5, 210}, {1500, 20, 210}, {1500, 40, 210},
		{1500, 67, 5}, {1500, 67, 50}, {1500, 67, 100},
	}
}

// Capacity measures an idle entry at several sizes of the fleet, one size at a time.
func Capacity(ctx context.Context, each time.Duration, progress func(string, ...any)) ([]IdleResult, error) {
	var list []IdleResult
	for i, s := range append(capacitySizes(), holderSizes()...) {
		f, err := measureIdle(ctx, s, i >= len(capacitySizes()), each)
		if err != nil {
			return list, fmt.Errorf("%+v: %w", s, err)
		}
		progress("%+v: %.2f %% of a core, %.1f MB", s, f.CorePercent, f.HeapMB)
		list = append(list, f)
	}
	return list, nil
}

// holderSizes returns the sizes at which the holder of the fleet lease is measured.
func holderSizes() []testbedSize {
	return []testbedSize{{48, 67, 210}, {200, 67, 210}, {800, 67, 210}, {1500, 67, 210}}
}

func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// measureIdle measures one entry at one size. Each of its pools is used once, so that its scheduler is in memory.
func measureIdle(ctx context.Context, s testbedSize, holder bool, each time.Duration) (IdleResult, error) {
	f := IdleResult{testbedSize: s, Holder: holder, Seconds: each.Seconds(), PoolsInUse: (s.Pools + ownersAtFullSize - 1) / ownersAtFullSize}
	worker, err := standin.Listen("127.0.0.1:0", echoWorker())
	if err != nil {
		return f, err
	}
	defer worker.Close()
	address := strings.TrimPrefix(worker.URL(), "http://")
	l, err := newTestbed(ctx, s, func(int) string { return address })
	if err != nil {
		return f, err
	}
	defer l.close()
	if !holder {
		if err := l.holdLease(ctx); err != nil {
			return f, err
		}
	}
	f.ListBytes = len(l.instancesJSON)
	f.DocumentBytes, f.RowsBytes = l.storedBytes()
	before := heapInUse()
	if err := l.startEntries(ctx, 1, zerolog.Nop()); err != nil {
		return f, err
	}
	if err := l.usePools(f.PoolsInUse); err != nil {
		return f, err
	}
	time.Sleep(idleWarmUp)
	err = l.measureUsage(ctx, &f, before, each)
	return f, err
}

func (l *testbed) storedBytes() (document, rows int) {
	for _, row := range l.platform.Rows("instances/") {
		rows += len(row.Key) + len(row.Value)
	}
	return len(l.platform.Row("config/current").Value), rows
}

// usePools sends one request to each of the first n pools.
func (l *testbed) usePools(n int) error {
	s := &speedTestbed{testbed: l, client: http.DefaultClient, body: []byte("{}")}
	for _, p := range l.document.Pools[:n] {
		url := "http://" + l.entries[0].CallerAddress() + "/v1/queues/" + p.Name + "/requests"
		if err := s.sendRequest(url); err != nil {
			return fmt.Errorf("pool %s: %w", p.Name, err)
		}
	}
	return nil
}

const (
	metricIn  = "samphirepoint_control_bytes_in_total"
	metricOut = "samphirepoint_control_bytes_out_total"
)

func (l *testbed) measureUsage(ctx context.Context, f *IdleResult, heap uint64, each time.Duration) error {
	in, errIn := l.metric(0, metricIn)
	out, errOut := l.metric(0, metricOut)
	if errIn != nil || errOut != nil {
		return fmt.Errorf("metrics of the entry: %v, %v", errIn, errOut)
	}
	counters, cpu, start := l.platform.Counters(), cpuTime(), time.Now()
	if err := sleep.Context(ctx, each); err != nil {
		return err
	}
	took := time.Since(start).Seconds()
	f.CorePercent = 100 * (cpuTime() - cpu).Seconds() / took
	after := l.platform.Counters()
	f.Reads, f.Writes = float64(after.Reads-counters.Reads)/took, float64(after.Writes-counters.Writes)/took
	inAfter, errIn := l.metric(0, metricIn)
	outAfter, errOut := l.metric(0, metricOut)
	if errIn != nil || errOut != nil {
		return fmt.Errorf("metrics of the entry: %v, %v", errIn, errOut)
	}
	f.BytesIn, f.BytesOut = (inAfter-in)/took, (outAfter-out)/took
	f.HeapMB = (float64(heapInUse()) - float64(heap)) / (1 << 20)
	return nil
}

// CapacityText returns the text form of the results.
func CapacityText(list []IdleResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "load average %s, GOMAXPROCS %d\n%5s %5s %7s %5s %6s %7s %7s %9s %9s %7s %8s %9s %9s %9s\n", loadAverage(), runtime.GOMAXPROCS(0),
		"rows", "pools", "backers", "used", "holder", "core %", "heap MB", "in B/s", "out B/s", "reads/s", "writes/s", "document", "rows B", "list B")
	for _, f := range list {
		fmt.Fprintf(&b, "%5d %5d %7d %5d %6t %7.2f %7.2f %9.0f %9.0f %7.2f %8.2f %9d %9d %9d\n", f.Rows, f.Pools, f.Backers, f.PoolsInUse, f.Holder,
			f.CorePercent, f.HeapMB, f.BytesIn, f.BytesOut, f.Reads, f.Writes, f.DocumentBytes, f.RowsBytes, f.ListBytes)
	}
	return b.String()
}

// ClaimResult is the load of non-idempotent requests on the table.
type ClaimResult struct {
	Connections int `json:"connections"`
	Requests    int `json:"requests"`
	Errors      int `json:"errors"`
	// Rate is in requests per second; the counts below are per request.
	Rate         float64 `json:"requestsPerSecond"`
	Transactions float64 `json:"transactionsPerRequest"`
	RowsWritten  float64 `json:"rowsWrittenPerRequest"`
	RowsRead     float64 `json:"rowsReadPerRequest"`
}

// Claims measures the table transactions, reads and writes of non-idempotent requests at several numbers of connections.
func Claims(ctx context.Context, connections []int, each time.Duration) ([]ClaimResult, error) {
	s, err := newSpeedTestbed(ctx)
	if err != nil {
		return nil, err
	}
	defer s.close()
	s.keys = &atomic.Int64{}
	var list []ClaimResult
	for _, n := range connections {
		if ctx.Err() != nil {
			return list, ctx.Err()
		}
		before := s.platform.Counters()
		latencies, errors := s.runLoad(PathOwner, n, each)
		after := s.platform.Counters()
		f := ClaimResult{Connections: n, Requests: len(latencies), Errors: errors, Rate: float64(len(latencies)) / each.Seconds()}
		if r := float64(len(latencies)); r > 0 {
			f.Transactions = float64(after.Writes-before.Writes) / r
			f.RowsWritten, f.RowsRead = float64(after.WriteRows-before.WriteRows)/r, float64(after.ReadRows-before.ReadRows)/r
		}
		list = append(list, f)
	}
	return list, nil
}

// ClaimsText returns the text form of the results.
func ClaimsText(list []ClaimResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%5s %10s %13s %13s %10s %7s\n", "conns", "requests/s", "transactions", "rows written", "rows read", "errors")
	for _, f := range list {
		fmt.Fprintf(&b, "%5d %10.0f %13.3f %13.3f %10.3f %7d\n", f.Connections, f.Rate, f.Transactions, f.RowsWritten, f.RowsRead, f.Errors)
	}
	return b.String()
}
