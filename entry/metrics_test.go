package entry

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"samphirepoint/dispatch"
)

// Guards against gauges that remain after a pool was transferred to another entry: a sum over the entries would count its
// slots twice.
func TestGaugesOfFormerPoolsAreRemoved(t *testing.T) {
	g := NewWithT(t)
	registry := metrics.NewRegistry()
	s := newStats(registry)
	s.observe(map[string]dispatch.PoolUsage{"a": {Slots: 8}, "b": {Slots: 16}})
	s.observe(map[string]dispatch.PoolUsage{"b": {Slots: 16}})
	g.Expect(registry.Get("pool.a.slots")).To(BeNil())
	g.Expect(registry.Get("pool.a.in_use")).To(BeNil())
	g.Expect(registry.Get("pool.a.waiting")).To(BeNil())
	g.Expect(registry.Get("pool.b.slots").(metrics.Gauge).Value()).To(Equal(int64(16)))
}
