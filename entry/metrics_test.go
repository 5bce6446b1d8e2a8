package entry

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"samphirepoint/dispatch"
)

// Gauges that stay after a pool went to another entry count its slots twice in a sum over the entries.
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
