package load_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/load"
	"samphirepoint/request"
	"samphirepoint/standin/workerd"
)

func plan(d load.Deployment) load.Plan {
	return load.Plan{Deployment: d, Rate: 200, Duration: 42 * time.Second, Seed: 3, Backers: []string{"a", "b"}, Entries: 4, Spread: 5}
}

// Guards against a schedule that differs between runs, which would make policies incomparable, and against one without the
// specified mean rate, demand spikes or spread over the entries, which would measure another load.
func TestSchedule(t *testing.T) {
	g := NewWithT(t)
	first, err := load.Schedule(plan(load.Inzira()))
	g.Expect(err).NotTo(HaveOccurred())
	second, err := load.Schedule(plan(load.Inzira()))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second).To(Equal(first))
	g.Expect(len(first)).To(BeNumerically("~", 200*42, 1000))
	entries, spike := make([]int, 4), 0
	for _, a := range first {
		entries[a.Entry]++
		if a.Queue == "pumps" && a.At < 4*time.Second {
			spike++
		}
	}
	g.Expect(float64(entries[0]) / float64(entries[3])).To(BeNumerically("~", 5, 0.8))
	g.Expect(spike).To(BeNumerically("~", 200*0.22*5*4, 150))
}

// Guards against a default rate whose demand spikes don't exceed the capacity of each pool, so that nothing ever waits.
func TestSpikesExceedPools(t *testing.T) {
	g := NewWithT(t)
	slots := map[string]float64{"pumps": 72, "deliveries": 72, "slips": 88, "routes": 96,
		"innanlands": 64, "utanlands": 72, "bref": 88, "magn": 96}
	for _, d := range []load.Deployment{load.Inzira(), load.Hraunvik()} {
		p := plan(d)
		p.Rate, p.Duration = load.DefaultRate, 4*time.Minute
		arrivals, err := load.Schedule(p)
		g.Expect(err).NotTo(HaveOccurred())
		busy := map[string]time.Duration{}
		for _, a := range arrivals {
			busy[a.Queue] += a.RunTime
		}
		for q, b := range busy {
			g.Expect(5*b.Seconds()/p.Duration.Seconds()).To(BeNumerically(">", slots[q]), q)
		}
	}
}

// entry simulates an entry; it aborts the connection of the first submission with each key.
func entry(t *testing.T, delay time.Duration, seen *sync.Map) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		var work workerd.Work
		_ = json.Unmarshal(body, &work)
		if key := r.Header.Get(request.HeaderIdempotencyKey); key != "" {
			if _, known := seen.LoadOrStore(key, r.Header.Get(request.HeaderRequestID)); !known {
				panic(http.ErrAbortHandler)
			}
		}
		time.Sleep(delay)
		w.Header().Set(request.HeaderVerdict, "ran")
		fmt.Fprintf(w, `{"runId":"x","payload":%s}`, work.Payload)
	}))
	t.Cleanup(s.Close)
	return s.URL
}

// Guards against a generator that waits for responses, and against one that resubmits with another key or to the same entry.
func TestRunIsOpenLoopAndResubmits(t *testing.T) {
	g := NewWithT(t)
	var seen sync.Map
	const delay = 300 * time.Millisecond
	targets := []string{entry(t, delay, &seen), entry(t, delay, &seen)}
	d := load.Deployment{Name: "test", Queues: []load.Queue{{Name: "q", Share: 1, Mix: []load.Kind{
		{Name: "quote", Share: 0.5, Deadline: 5 * time.Second}, {Name: "refresh", Share: 0.5, NonIdempotent: true, Deadline: 5 * time.Second},
	}}}}
	started := time.Now()
	result, err := load.Run(context.Background(), load.Options{Targets: targets, Deployment: d, Rate: 20, Duration: time.Second,
		Tokens: map[string]string{"a": "t"}, Seed: 1})
	g.Expect(err).NotTo(HaveOccurred())
	s := result.Summary()
	g.Expect(s.Arrivals).To(BeNumerically(">", 20))
	g.Expect(s.OK).To(Equal(s.Arrivals))
	g.Expect(time.Since(started)).To(BeNumerically("<", time.Duration(s.Arrivals)*delay/2))
	g.Expect(s.Latencies["quote short"].P50).To(BeNumerically(">=", 300))
	resubmitted := 0
	for i, r := range result.Records {
		if r.Resubmission == 1 {
			before := result.Records[i-1]
			resubmitted++
			g.Expect(before.ErrKind).To(Equal(load.ErrBroken))
			g.Expect(before.OutcomeUnknown()).To(BeTrue())
			g.Expect(r.Key).To(Equal(before.Key))
			g.Expect(r.RequestID).NotTo(Equal(before.RequestID))
			g.Expect(r.Entry).NotTo(Equal(before.Entry))
		}
		if r.OK() {
			g.Expect(string(r.Result.Payload)).To(Equal(r.WantPayload))
		}
	}
	g.Expect(resubmitted).To(BeNumerically(">", 0))
}

// Guards against cancellations that do not reach the entry of the request or that carry another request ID.
func TestCancelWave(t *testing.T) {
	g := NewWithT(t)
	cancelled := make(map[string]chan struct{})
	var mu sync.Mutex
	cancellation := func(id string) chan struct{} {
		mu.Lock()
		defer mu.Unlock()
		if cancelled[id] == nil {
			cancelled[id] = make(chan struct{}, 1)
		}
		return cancelled[id]
	}
	mux := http.NewServeMux()
	mux.HandleFunc("DELETE /v1/requests/{id}", func(_ http.ResponseWriter, r *http.Request) { cancellation(r.PathValue("id")) <- struct{}{} })
	mux.HandleFunc("POST /v1/queues/q/requests", func(w http.ResponseWriter, r *http.Request) {
		<-cancellation(r.Header.Get(request.HeaderRequestID))
		w.Header().Set(request.HeaderVerdict, "not-run")
		w.WriteHeader(http.StatusConflict)
	})
	s := httptest.NewServer(mux)
	defer s.Close()
	d := load.Deployment{Name: "test", Queues: []load.Queue{{Name: "q", Share: 1, Mix: []load.Kind{{Name: "quote", Share: 1, Deadline: 20 * time.Second}}}}}
	result, err := load.Run(context.Background(), load.Options{Targets: []string{s.URL}, Deployment: d, Rate: 40, Duration: time.Second,
		Tokens: map[string]string{"a": "t"}, Seed: 1, CancelWaveAt: 1500 * time.Millisecond})
	g.Expect(err).NotTo(HaveOccurred())
	sum := result.Summary()
	g.Expect(sum.Arrivals).To(BeNumerically(">", 50))
	g.Expect(sum.Cancelled).To(Equal(sum.Arrivals))
	g.Expect(sum.NotRun).To(Equal(sum.Arrivals))
}
