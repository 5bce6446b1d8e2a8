package entry_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against the answer may-have-run for a repeat of a request that a leaving entry still runs: the repeat must get the
// answer of that request.
func TestRepeatAttachesAtLeavingEntry(t *testing.T) {
	runDeployment(t, func(d *deployment) {
		first := d.begin(d.owner, "k", 5*time.Second)
		d.leave()
		time.Sleep(1500 * time.Millisecond) // the other entries know that it leaves, and it does not reject work yet
		repeat := d.submit(d.Entries[0], "k", 5*time.Second)
		d.expectSuccess(repeat)
		d.Expect(repeat.replayed).To(gomega.BeTrue())
		d.expectSuccess(<-first)
		d.Expect(d.starts()).To(gomega.Equal(1))
	})
}

// Guards against a leaving entry that no longer accepts a repeat of a request that it still runs, because it rejects new work.
func TestRepeatAttachesAtDrainingEntry(t *testing.T) {
	runDeployment(t, func(d *deployment) {
		first := d.begin(d.owner, "k", 8*time.Second)
		d.leave()
		time.Sleep(4 * time.Second)
		repeat := d.submit(d.Entries[0], "k", 8*time.Second)
		d.expectSuccess(repeat)
		d.Expect(repeat.replayed).To(gomega.BeTrue())
		d.expectSuccess(<-first)
		d.Expect(d.starts()).To(gomega.Equal(1))
	})
}

// Guards against a leaving entry that stops answering other entries while it runs a request of theirs: they would take it for
// dead and answer may-have-run (property P7 of the design document).
func TestForwardedRequestOutlastsLeaving(t *testing.T) {
	runDeployment(t, func(d *deployment) {
		first := d.begin(d.Entries[0], "k", 8*time.Second)
		d.leave()
		d.expectSuccess(<-first)
		d.Expect(d.starts()).To(gomega.Equal(1))
	})
}
