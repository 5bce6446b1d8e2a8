package entry_test

import (
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
