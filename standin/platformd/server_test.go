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

// A version that repeats after a delete would let an old condition match a new row.
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

// A transaction that writes although one condition failed would break every lease and claim.
func TestCommitIsAllOrNothing(t *testing.T) {
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

// A lost reply must leave the write in place and must not look like a refusal; a refusal must not write.
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

// A table without a capacity would hide that each claim written by itself is too much.
func TestCapacity(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	s, c, _ := start(t, platformd.Options{})
	s.SetFaults(platformd.Faults{Table: platformd.Fault{WritesPerSecond: 20}})
	began := time.Now()
	for range 3 {
		_, err := c.Commit(ctx, []services.Write{{Key: "a", IfVersion: services.AnyVersion}, {Key: "b", IfVersion: services.AnyVersion}})
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(time.Since(began)).To(BeNumerically(">=", 290*time.Millisecond))
}

// Objects keep their keys with slashes, and an absent one is told from a fault.
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

// Without a lag in the list the entries' own notice of leaving workers would go untested.
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

// countingTransport adds up the bodies of answers.
type countingTransport struct{ bytes int64 }

func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err == nil {
		c.bytes += resp.ContentLength
	}
	return resp, err
}

// An unchanged list that is sent again to each entry every 2 s would cost 150 KB/s per entry at 1,500 instances; a changed
// one must not be hidden by the copy, nor the copy be changed by a caller.
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
