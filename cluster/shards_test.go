package cluster

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"samphirepoint/catalog"
	"samphirepoint/owner"
	"samphirepoint/rows"
	"samphirepoint/rows/memrows"
	"samphirepoint/shard"
)

// Guards against jobs that nobody finds any more because their pool is divided after they were stored, and against numbers of shards
// that are chosen before the members are known.
func TestPoolsAreDividedOnceMembersAreKnown(t *testing.T) {
	g := NewWithT(t)
	store := memrows.New()
	_, err := store.Transact(t.Context(), rows.Tx{Writes: []rows.Write{{Key: owner.ClaimKey("routes"), Value: []byte("{}")}}})
	g.Expect(err).NotTo(HaveOccurred())
	var now time.Duration
	n := NewNode(Settings{Name: "a", Store: store, Log: zerolog.Nop(), Now: func() time.Duration { return now },
		NewFleetController: func(context.Context, int64, int64) Term { return nil }})
	c := &catalog.Catalog{Version: 1, Pools: []catalog.Pool{{Name: "pumps"}, {Name: "routes"}, {Name: "later"}, {Name: "spare", Spare: true}}}
	c.Index()
	n.SetCatalog(c)
	sizes := map[string]shard.Size{"pumps": {Workers: 200}, "routes": {Workers: 200}}

	n.readLayout(t.Context())
	n.CreateShards(t.Context(), sizes)
	n.readLayout(t.Context())
	g.Expect(n.Layout().Names("pumps", "routes", "later")).To(BeEmpty())

	now = membersSettleTime
	n.CreateShards(t.Context(), sizes)
	n.readLayout(t.Context())
	g.Expect(n.Layout().Names("pumps", "routes", "later")).To(Equal([]string{"pumps#0", "pumps#1", "pumps#2", "routes"}))
	g.Expect(n.Owners()).To(ContainElement(Ownership{Pool: "pumps", Shard: "pumps#1"}), "the status names the pool of a shard")

	now = layoutTimeout + time.Second
	n.readLayout(t.Context())
	n.readLayout(t.Context())
	g.Expect(n.Layout().Names("later")).To(Equal([]string{"later"}), "a pool without instances is served as well")
}
