package daemon

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/platform"
	"samphirepoint/standin"
	"samphirepoint/standin/faultproxy"
)

const (
	// revokeTime is the bound revoke_ms of the tests. A connected daemon confirms its configuration at least every 2.4 s, twice the time for which
	// a read waits for a change.
	revokeTime = 3 * time.Second
	// watchTime is how long a test goes on calling with a withdrawn key after the bound.
	watchTime = 1500 * time.Millisecond
	// answerDelay is how long the store's answers are on their way to a daemon while the history gets a gap.
	answerDelay = 500 * time.Millisecond
	// appliedTime bounds the time in which a daemon that reaches the store answers as the newest configuration says.
	appliedTime = 20 * time.Second
)

// keyedDeployment is a daemon whose configuration has one workspace with keys, and whose access to the store can be cut.
type keyedDeployment struct {
	*deployment
	daemon  *runningDaemon
	store   *faultproxy.Proxy
	version int
}

func deployWithKeys(t *testing.T, g *WithT, keys ...string) *keyedDeployment {
	d := &keyedDeployment{deployment: deploy(t, 0)}
	var err error
	d.store, err = faultproxy.New("127.0.0.1:0", d.fleet.StoreAddress())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(d.store.Close)
	d.setKeys(g, keys...)
	d.daemon = d.start(t, "edge-0", d.bounded)
	for _, key := range keys {
		d.waitFor(g, key, http.StatusOK)
	}
	return d
}

// bounded sets the bound on withdrawn keys in a daemon's settings, and sends its calls to the store through the proxy.
func (d *keyedDeployment) bounded(s *platform.Settings) {
	s.Store.Address = d.store.Address()
	s.Bounds.StrictRevoke, s.Bounds.RevokeMS = true, revokeTime.Milliseconds()
}

// setKeys writes a version of the configuration in which the workspace has the given keys. It returns when the store acknowledged it.
func (d *keyedDeployment) setKeys(g *WithT, keys ...string) time.Time {
	d.version++
	list, err := json.Marshal(append([]string{}, keys...))
	g.Expect(err).NotTo(HaveOccurred())
	config := strings.Replace(testConfig, `"version":1`, fmt.Sprintf(`"version":%d,"tenants":[{"name":"cooperative","api_keys":%s,"weight":1}]`, d.version, list), 1)
	g.Expect(d.fleet.Configure(json.RawMessage(config))).To(Succeed())
	return time.Now()
}

func (d *keyedDeployment) status(key string) int {
	status, _ := d.daemon.requestWithKey(http.MethodGet, "/pumps/", "", key)
	return status
}

// waitFor waits until the daemon answers calls with the key by the status.
func (d *keyedDeployment) waitFor(g *WithT, key string, status int) {
	g.Eventually(func() int { return d.status(key) }, appliedTime, 20*time.Millisecond).Should(Equal(status), "key %s", key)
}

// expectRevoked calls with a key whose withdrawal was acknowledged at the given time, until watchTime after the bound. No call that is sent
// after the bound may succeed.
func (d *keyedDeployment) expectRevoked(g *WithT, key string, acknowledged time.Time) {
	bound := acknowledged.Add(revokeTime)
	for sent := time.Now(); sent.Before(bound.Add(watchTime)); sent = time.Now() {
		if status := d.status(key); sent.After(bound) {
			g.Expect(status).To(BeElementOf(http.StatusUnauthorized, http.StatusServiceUnavailable), "sent %s after the bound", sent.Sub(bound))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a daemon that can't learn of a withdrawal, as its access to the store is cut, and accepts the key for longer than the bound.
func TestAWithdrawnKeyIsRefusedWhileTheStoreIsCutOff(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	d := deployWithKeys(t, g, "k1", "k2")
	d.store.Cut(true)
	d.expectRevoked(g, "k1", d.setKeys(g, "k2"))
	g.Expect(d.status("k2")).To(Equal(http.StatusServiceUnavailable), "it may be withdrawn as well")
	d.store.Cut(false)
	d.waitFor(g, "k1", http.StatusUnauthorized)
	d.waitFor(g, "k2", http.StatusOK)
}

// Guards against a store that takes connections and sends nothing back, or refuses them: an unanswered or failed read must not confirm the
// configuration.
func TestFailedReadsConfirmNoKey(t *testing.T) {
	for name, faults := range map[string]faultproxy.Faults{
		"no answers": {Down: faultproxy.Direction{Cut: true}},
		"refused":    {Refuse: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			d := deployWithKeys(t, g, "k1", "k2")
			d.store.Set(faults)
			d.store.Reset()
			d.expectRevoked(g, "k1", d.setKeys(g, "k2"))
			d.store.Set(faultproxy.Faults{})
			d.waitFor(g, "k1", http.StatusUnauthorized)
			d.waitFor(g, "k2", http.StatusOK)
		})
	}
}

// Guards against a withdrawal that is in a gap of the store's history, so that the daemon goes on with changes that came after it.
func TestAWithdrawalInAGapOfTheHistoryTakesEffect(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	d := deployWithKeys(t, g, "k1", "k2")
	// The answer to the daemon's read is on its way while the key is withdrawn, so that its next read begins in the gap.
	d.store.Set(faultproxy.Faults{Down: faultproxy.Direction{Delay: standin.Duration(answerDelay)}})
	d.setKeys(g, "k1", "k2")
	time.Sleep(answerDelay / 4)
	withdrawn := d.setKeys(g, "k2")
	d.fleet.Store.Compact()
	d.store.Set(faultproxy.Faults{})
	d.expectRevoked(g, "k1", withdrawn)
	d.waitFor(g, "k1", http.StatusUnauthorized)
	d.waitFor(g, "k2", http.StatusOK)
}

// Guards against a daemon that starts again after the last key of a workspace was withdrawn, and takes a configuration without keys for one
// that asks for none, or serves before it has read one.
func TestAWithdrawnKeyIsRefusedAfterARestart(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	d := deployWithKeys(t, g, "k1")
	d.daemon.kill()
	<-d.daemon.done
	d.store.Cut(true)
	withdrawn := d.setKeys(g)
	d.daemon = d.start(t, "edge-0", d.bounded)
	d.expectRevoked(g, "k1", withdrawn)
	g.Expect(d.status("k1")).To(Equal(http.StatusServiceUnavailable), "it has no configuration")
	d.store.Cut(false)
	d.waitFor(g, "k1", http.StatusUnauthorized)
	g.Expect(d.status("")).To(Equal(http.StatusUnauthorized))
	d.setKeys(g, "k2")
	d.waitFor(g, "k2", http.StatusOK)
	d.expectRevoked(g, "k1", withdrawn)
}

// Guards against a reload that counts as a confirmation of the configuration, or that lifts the bound in a running process.
func TestAReloadExtendsNoKey(t *testing.T) {
	g := NewWithT(t)
	d := deployWithKeys(t, g, "k1", "k2")
	path := filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Sprintf("node: edge-0\nip: 127.0.0.1\nlisten: {front: %q, ready: %q}\nport_range: [%d, %d]\nplatform: {address: %q}\nbounds: {strict_revoke: false}\n",
		d.daemon.settings.Listen.Front, d.daemon.settings.Listen.Ready, d.daemon.settings.PortRange[0], d.daemon.settings.PortRange[1], d.store.Address())
	g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	t.Setenv(platform.SettingsVariable, path)
	d.store.Cut(true)
	withdrawn := d.setKeys(g, "k2")
	for range 3 {
		time.Sleep(revokeTime / 4)
		g.Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
	}
	d.expectRevoked(g, "k1", withdrawn)
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
	g.Consistently(func() int { return d.status("k1") }, time.Second, 20*time.Millisecond).Should(Equal(http.StatusServiceUnavailable))
	d.store.Cut(false)
	d.waitFor(g, "k1", http.StatusUnauthorized)
	d.waitFor(g, "k2", http.StatusOK)
}
