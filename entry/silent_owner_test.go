package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"samphirepoint/standin"
	"samphirepoint/standin/faultproxy"
	"samphirepoint/standin/platformd"
	"samphirepoint/verdict"
)

// Guards against the verdict may-have-run for a request that its owner rejected as not run because the table is down, only
// because the rejection arrived after the receiver had given the owner up as silent.
func TestRejectionBySlowOwner(t *testing.T) {
	runDeployment(t, func(d *deployment) {
		d.Platform.SetFaults(platformd.Faults{Table: platformd.Fault{Down: true}})
		slow := faultproxy.Direction{Delay: standin.Duration(600 * time.Millisecond)}
		d.link.Set(faultproxy.Faults{Up: slow, Down: slow})
		r := d.submit(d.Entries[0], "k", time.Second)
		d.Expect(r.verdict).To(gomega.Equal(verdict.NotRun.String()), "%+v", r)
		d.Expect(d.starts()).To(gomega.BeZero())
	})
}

// Guards against a cancel that is answered with "not in flight" although an entry that may run the request was not asked.
func TestCancelWithUnreachableEntry(t *testing.T) {
	runDeployment(t, func(d *deployment) {
		running := d.begin(d.owner, "k", 20*time.Second)
		cancel := func() reply { return d.call(d.Entries[0], http.MethodDelete, "/v1/requests/k", "", nil) }
		d.link.Cut(true)
		r := cancel()
		d.Expect(r.status).To(gomega.Equal(http.StatusServiceUnavailable), "%+v", r)
		d.Expect(r.verdict).To(gomega.Equal(verdict.MayHaveRun.String()))
		d.link.Cut(false)
		d.Expect(cancel().status).To(gomega.Equal(http.StatusAccepted))
		d.Expect((<-running).status).To(gomega.Equal(http.StatusConflict))
		d.Expect(cancel().status).To(gomega.Equal(http.StatusNotFound))
	})
}

// suspectOwner cuts the link to the owner and returns when both other entries suspect it, each because of a request that it
// forwarded to it. The channel receives the replies to these.
func (d *deployment) suspectOwner() <-chan reply {
	d.link.Cut(true)
	replies := make(chan reply, 2)
	for i, e := range d.Entries {
		go func() { replies <- d.submit(e, fmt.Sprint("other-", i), time.Millisecond) }()
	}
	suspected := func() bool { return len(d.Entries[0].Members()) == 2 && len(d.Entries[1].Members()) == 2 }
	for range 200 {
		if suspected() {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	d.Expect(suspected()).To(gomega.BeTrue(), "the owner is suspect at both entries")
	return replies
}

// Guards against the answer may-have-run for a repeat of a request that another entry runs, because that entry did not answer
// a ping shortly before: a suspect entry is not gone.
func TestRepeatAttachesAtSuspectEntry(t *testing.T) {
	runDeployment(t, func(d *deployment) {
		first := d.begin(d.owner, "k", 8*time.Second)
		others := d.suspectOwner()
		d.link.Cut(false)
		repeat := d.submit(d.Entries[0], "k", 8*time.Second)
		d.expectSuccess(repeat)
		d.Expect(repeat.replayed).To(gomega.BeTrue())
		d.expectSuccess(<-first)
		d.expectSuccess(<-others)
		d.expectSuccess(<-others)
		d.Expect(d.starts()).To(gomega.Equal(3))
	})
}

// Guards against a cancel that is answered with "not in flight" because the entry that runs the request is suspect.
func TestCancelAtSuspectEntry(t *testing.T) {
	runDeployment(t, func(d *deployment) {
		running := d.begin(d.owner, "k", 20*time.Second)
		others := d.suspectOwner()
		r := d.call(d.Entries[0], http.MethodDelete, "/v1/requests/k", "", nil)
		d.Expect(r.status).To(gomega.Equal(http.StatusServiceUnavailable), "%+v", r)
		d.link.Cut(false)
		r = d.call(d.Entries[0], http.MethodDelete, "/v1/requests/k", "", nil)
		d.Expect(r.status).To(gomega.Equal(http.StatusAccepted), "%+v", r)
		d.Expect((<-running).status).To(gomega.Equal(http.StatusConflict))
		d.expectSuccess(<-others)
		d.expectSuccess(<-others)
	})
}
