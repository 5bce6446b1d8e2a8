package platformd

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/services"
)

// Guards against a killed process that stays in the list, and against a renewed registration that expires.
func TestRegistrationExpires(t *testing.T) {
	g := NewWithT(t)
	l := instanceList{registrations: map[string]*registration{}}
	t0 := time.Unix(1000, 0)
	in := services.Instance{ID: "w1", Kind: services.KindWorker}
	l.put(t0, in)
	l.put(t0.Add(5*time.Second), in)
	g.Expect(l.view(t0.Add(10*time.Second), 0)).To(HaveLen(1))
	g.Expect(l.view(t0.Add(12*time.Second), 0)).To(BeEmpty())
	g.Expect(l.view(t0.Add(12*time.Second), 2*time.Second)).To(HaveLen(1))
	l.put(t0.Add(20*time.Second), in)
	g.Expect(l.view(t0.Add(20*time.Second), 0)).To(HaveLen(1))
	g.Expect(l.view(t0.Add(20*time.Second), 3*time.Second)).To(BeEmpty())
}
