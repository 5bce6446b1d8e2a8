package fleet

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/services"
	"samphirepoint/table"
	"samphirepoint/wave"
)

// Guards against rows that accumulate without bound, against the deletion of records that must still be kept, and
// against deletions by a former lease holder.
func TestRetention(t *testing.T) {
	g := NewWithT(t)
	ctx, env := context.Background(), newTestEnv(0)
	const current = maxHistoryVersions + 250
	put := func(key, value string) {
		_, err := env.table.Commit(ctx, []services.Write{{Key: key, IfVersion: services.AnyVersion, Value: []byte(value)}})
		g.Expect(err).NotTo(HaveOccurred())
	}
	stamp := func(age time.Duration) string { return env.clock.Add(-age).Format(time.RFC3339) }
	put(table.KeyVersion, strconv.Itoa(current))
	for v := 1; v <= current; v++ {
		put(table.HistoryKey(int64(v)), fmt.Sprintf(`{"version":%d,"at":%q}`, v, stamp(time.Hour)))
	}
	put(table.HistoryKey(251), fmt.Sprintf(`{"version":251,"at":%q}`, stamp(maxHistoryAge+time.Hour)))
	for i := range 1200 {
		put(fmt.Sprintf("%s%04d", table.PrefixOperations, i), fmt.Sprintf(`{"at":%q}`, stamp(time.Duration(i%10)*24*time.Hour)))
	}
	put(wave.Prefix+"old", fmt.Sprintf(`{"id":"old","status":"done","ended":%q}`, stamp(waveRetention+time.Hour)))
	put(wave.Prefix+"new", fmt.Sprintf(`{"id":"new","status":"done","ended":%q}`, stamp(waveRetention-time.Hour)))
	p := env.process("a", -1)
	for range 10 * 60 {
		env.tick(ctx)
	}
	g.Expect(env.violations).To(BeEmpty())
	keys := func(prefix string) map[string]bool {
		found := map[string]bool{}
		g.Expect(listPages(ctx, env.table, prefix, func(row services.Row) error { found[row.Key] = true; return nil })).To(Succeed())
		return found
	}
	history := keys(table.PrefixHistory)
	g.Expect(history).To(HaveLen(maxHistoryVersions - 1))
	g.Expect(history).To(And(HaveKey(table.HistoryKey(252)), HaveKey(table.HistoryKey(current)), Not(HaveKey(table.HistoryKey(251)))))
	operations := keys(table.PrefixOperations)
	g.Expect(operations).To(HaveLen(1200 * 7 / 10))
	g.Expect(operations).To(And(HaveKey(table.PrefixOperations+"0006"), Not(HaveKey(table.PrefixOperations+"0008"))))
	g.Expect(keys(wave.Prefix)).To(And(HaveKey(wave.Prefix+"new"), Not(HaveKey(wave.Prefix+"old"))))

	// Another process acquires the lease while this one still considers itself the holder.
	put("leases/fleet", `{"holder":"b","nonce":"b","token":99}`)
	g.Expect(p.controller.delete(ctx, []services.Write{{Key: table.HistoryKey(300), IfVersion: services.AnyVersion, Delete: true}}, "history")).To(Succeed())
	g.Expect(keys(table.PrefixHistory)).To(HaveKey(table.HistoryKey(300)))
}
