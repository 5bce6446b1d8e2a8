package platformd_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/services"
	"samphirepoint/standin"
	"samphirepoint/standin/platformd"
	"samphirepoint/verdict"
)

func start(t *testing.T, o platformd.Options) (*platformd.Server, *services.Client, string) {
	t.Helper()
	s := platformd.New(o)
	l, err := s.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return s, services.NewClient(l.URL(), &http.Client{}), l.URL()
}

// Guards against a version that repeats after a delete, which would let an old condition match a new row.
func TestVersionsNeverRepeat(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	_, c, _ := start(t, platformd.Options{})
	v, err := c.Commit(ctx, []services.Write{{Key: "claims/a b/1", Value: []byte("x")}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(v).To(Equal([]int64{1}))
	_, err = c.Commit(ctx, []services.Write{{Key: "claims/a b/1", IfVersion: 1, Delete: true}})
	g.Expect(err).NotTo(HaveOccurred())
	row, err := c.Get(ctx, "claims/a b/1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(row.Version).To(BeZero())
	v, err = c.Commit(ctx, []services.Write{{Key: "claims/a b/1", Value: []byte("y")}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(v[0]).To(BeNumerically(">", 1))
}

// Guards against a transaction that writes although one condition failed, which would break every lease and claim.
func TestCommitIsAtomic(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	_, c, _ := start(t, platformd.Options{})
	_, err := c.Commit(ctx, []services.Write{{Key: "a", Value: []byte("1")}, {Key: "b", IfVersion: 3, Check: true}})
	g.Expect(err).To(MatchError(services.ErrConflict))
	rows, err := c.List(ctx, "", "", 10)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rows).To(BeEmpty())
	_, err = c.Commit(ctx, []services.Write{{Key: "a"}, {Key: "a"}})
	g.Expect(verdict.Is(err, verdict.NotRun)).To(BeTrue())
}

// Guards against a lost reply that undoes the write or is reported as a rejection, and against a rejected call that writes.
func TestLostReplyAndRefusal(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	s, c, _ := start(t, platformd.Options{})
	s.SetFaults(platformd.Faults{Table: platformd.Fault{LoseReplies: 1}})
	_, err := c.Commit(ctx, []services.Write{{Key: "a", Value: []byte("1")}})
	g.Expect(err).To(HaveOccurred())
	g.Expect(verdict.Of(err)).To(Equal(verdict.MayHaveRun))
	g.Expect(s.Row("a").Version).To(Equal(int64(1)))

	s.SetFaults(platformd.Faults{Table: platformd.Fault{Down: true}})
	_, err = c.Commit(ctx, []services.Write{{Key: "b", Value: []byte("1")}})
	g.Expect(verdict.Is(err, verdict.NotRun)).To(BeTrue())
	g.Expect(s.Row("b").Version).To(BeZero())
	g.Expect(s.Counters().LostReplies).To(Equal(int64(1)))
	g.Expect(s.Counters().Refused).To(Equal(int64(1)))
}

// Guards against a table without a capacity limit, which would hide that writing each claim in a transaction of its own
// exceeds the capacity.
func TestCapacity(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	s, c, _ := start(t, platformd.Options{})
	s.SetFaults(platformd.Faults{Table: platformd.Fault{WritesPerSecond: 20}})
	started := time.Now()
	for range 3 {
		_, err := c.Commit(ctx, []services.Write{{Key: "a", IfVersion: services.AnyVersion}, {Key: "b", IfVersion: services.AnyVersion}})
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(time.Since(started)).To(BeNumerically(">=", 290*time.Millisecond))
}

// Guards against object keys with slashes that are not preserved, and against a missing object that is reported as a
// fault.
func TestObjects(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	_, c, _ := start(t, platformd.Options{})
	_, err := c.Objects().Get(ctx, "results/1")
	g.Expect(err).To(MatchError(services.ErrNotFound))
	g.Expect(c.Objects().Put(ctx, "results/1", []byte("abc"))).To(Succeed())
	data, err := c.Objects().Get(ctx, "results/1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(Equal("abc"))
}

// Guards against an instance list without a lag, with which the entries' own detection of leaving workers would stay
// untested.
func TestInstanceListLags(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	s, c, url := start(t, platformd.Options{ListLag: time.Second})
	put(g, url+"/instances/w1", `{"kind":"worker","address":"127.0.0.1:1"}`)
	list, err := c.Instances().List(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(list).To(BeEmpty())
	g.Eventually(func() []services.Instance { list, _ = c.Instances().List(ctx); return list }).WithTimeout(5 * time.Second).Should(HaveLen(1))
	put(g, url+"/instances/w1", `{"kind":"worker","address":"127.0.0.1:1","state":"leaving"}`)
	list, _ = c.Instances().List(ctx)
	g.Expect(list[0].State).To(Equal(services.StateLive))
	put(g, url+"/faults", `{"listLag":"0s"}`)
	list, _ = c.Instances().List(ctx)
	g.Expect(list[0].State).To(Equal(services.StateLeaving))
	g.Expect(s.Faults().ListLag).To(Equal(standin.Duration(0)))
}

// countingTransport counts the bytes of response bodies.
type countingTransport struct{ bytes int64 }

func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err == nil {
		c.bytes += resp.ContentLength
	}
	return resp, err
}

// Guards against sending an unchanged list to each entry every 2 s, which would cost 150 KB/s per entry at 1,500 instances,
// against a cached copy that hides a changed list, and against callers that modify the cached copy.
func TestUnchangedInstanceListIsNotSentAgain(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	_, _, url := start(t, platformd.Options{})
	transport := &countingTransport{}
	c := services.NewClient(url, &http.Client{Transport: transport})
	put(g, url+"/instances/w1", `{"kind":"worker","address":"127.0.0.1:1"}`)
	first, err := c.Instances().List(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	first[0].ID = "changed by the caller"
	sent := transport.bytes
	g.Expect(sent).To(BeNumerically(">", 0))
	again, err := c.Instances().List(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(transport.bytes).To(Equal(sent))
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].ID).To(Equal("w1"))
	put(g, url+"/instances/w1", `{"kind":"worker","address":"127.0.0.1:1","state":"leaving"}`)
	changed, err := c.Instances().List(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed[0].State).To(Equal(services.StateLeaving))
}

func put(g *WithT, url, body string) {
	req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Body.Close()).To(Succeed())
	g.Expect(resp.StatusCode).To(Equal(http.StatusNoContent))
}
