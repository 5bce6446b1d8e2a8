package settings_test

import (
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.yaml.in/yaml/v3"

	"samphirepoint/settings"
	"samphirepoint/table"
)

const minimal = `id: e1
zone: a
zones: [a, b]
listen: {callers: "10.0.0.1:80", peers: "10.0.0.1:81"}
platform: http://10.0.0.9:7000
`

// Guards against invalid defaults, and against derived values that are not set from the given ones.
func TestMinimalFileGetsValidDefaults(t *testing.T) {
	g := NewWithT(t)
	s, err := settings.Parse("e.yaml", []byte(minimal))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Advertise.Peers).To(Equal("10.0.0.1:81"))
	g.Expect(s.Timings.FreshFor).To(Equal(5 * time.Second))
	g.Expect(s.Limits.MaxBodyBytes).To(BeNumerically(">", 0))
}

// Guards against invalid settings that are accepted, and against errors that are reported one at a time or without file,
// line and key.
func TestEveryErrorIsReportedWithLineAndKey(t *testing.T) {
	g := NewWithT(t)
	_, err := settings.Parse("e.yaml", []byte(`id: e1
zone: c
zones: [a, b]
zone: a
listen:
  callers: entry.example:80
platform: http://platform.example:7000
limit: {}
limits: {maxBodyBytes: 8 megs, maxQueueLength: 0}
shutdown: {drainTimeout: 30}
policies: {queue: lifo}
moves: {bufferCost: -1}
timings: {freshFor: 8s}
peers: [10.0.0.1:0]
`))
	g.Expect(err).To(HaveOccurred())
	lines := strings.Split(err.Error(), "\n")
	for i, want := range []string{
		`e.yaml:2: zone: zone "c" is not in zones, expected one of a, b`,
		`e.yaml:4: zone: duplicate key, first set on line 2`,
		`e.yaml:6: listen.callers: "entry.example:80" is not an IP address`,
		`e.yaml:6: listen.peers: missing, expected IP:port`,
		`e.yaml:7: platform: host "platform.example:7000" is not an IP address`,
		`e.yaml:8: limit: unknown key, expected one of id, zone`,
		`e.yaml:9: limits.maxBodyBytes: "8 megs" is not a valid size, expected`,
		`e.yaml:9: limits.maxQueueLength: "0" is not valid, expected`,
		`e.yaml:10: shutdown.drainTimeout: "30" is not a valid duration, expected`,
		`e.yaml:11: policies.queue: unknown value "lifo", expected weighted or fifo`,
		`e.yaml:12: moves.bufferCost: "-1" is not valid`,
		`e.yaml:13: timings.freshFor: 8s + 250ms is too long, expected`,
		`e.yaml:14: peers[0]: "10.0.0.1:0" cannot be dialled`,
	} {
		g.Expect(i).To(BeNumerically("<", len(lines)), "missing: %s", want)
		g.Expect(lines[i]).To(HavePrefix(want))
	}
	g.Expect(lines).To(HaveLen(13))
}

// Guards against an entry that binds all interfaces and then advertises 0.0.0.0 to its peers.
func TestUnspecifiedListenAddressNeedsAdvertisedOne(t *testing.T) {
	g := NewWithT(t)
	_, err := settings.Parse("e.yaml", []byte(strings.Replace(minimal, "10.0.0.1:81", "0.0.0.0:81", 1)))
	g.Expect(err).To(MatchError(HavePrefix("e.yaml:4: advertise.peers: missing")))
}

// Guards against example files that the binary rejects, and against quotas that exceed the fleet of 48 workers with 8 slots.
func TestExampleFilesAreValid(t *testing.T) {
	for _, deployment := range []string{"inzira", "hraunvik"} {
		g := NewWithT(t)
		_, err := settings.Load("../examples/" + deployment + "/entry.yaml")
		g.Expect(err).NotTo(HaveOccurred())
		data, err := os.ReadFile("../examples/" + deployment + "/table.yaml")
		g.Expect(err).NotTo(HaveOccurred())
		dec := yaml.NewDecoder(strings.NewReader(string(data)))
		dec.KnownFields(true)
		var doc table.Document
		g.Expect(dec.Decode(&doc)).To(Succeed())
		quota := 0
		for _, b := range doc.Backers {
			quota += b.NominalQuota
			g.Expect(b.MaxUnavailable).To(BeNumerically(">", 0))
		}
		g.Expect(quota).To(BeNumerically("<=", 48*8))
		for _, q := range doc.Queues {
			g.Expect(q.Pools).To(HaveLen(2))
			spare, ok := doc.Pool(q.Pools[1])
			g.Expect(ok && spare.Spare).To(BeTrue())
		}
	}
}

// Guards against input that makes the decoder panic, and against errors without a valid line.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	for _, seed := range []string{
		"", "---\n---\n", "id: &a [*a]\n", "<<: {id: x}\n", "id: !!binary x\n", "? [a]\n: b\n", "a: b: c", "timings: {freshFor: 1e99h}",
		"limits: {maxBodyBytes: 9999999999GiB}", "id: |\n  x\n", "\t", "zones: [a, a, '']\nid: null\n", "platform: http://[::1]:1/\n",
		minimal + "tenants:\n- {name: a, api_keys: [k], cap: {cpu: 4000}}\n- {name: a}\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse("f", data)
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v with error %v", s, err)
		}
		if list, ok := err.(settings.Errors); err != nil && (!ok || len(list) == 0 || list[0].Line < 1) {
			t.Fatalf("error without line: %v", err)
		}
	})
}
