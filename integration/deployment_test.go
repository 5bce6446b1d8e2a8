//go:build linux

package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
	"go.yaml.in/yaml/v3"

	"samphirepoint/auth"
	"samphirepoint/checker"
	"samphirepoint/fleet"
	"samphirepoint/membership"
	"samphirepoint/services"
	"samphirepoint/standin"
	"samphirepoint/standin/faultproxy"
	"samphirepoint/standin/platformd"
	"samphirepoint/standin/workerd"
	"samphirepoint/table"
)

// tableYAML is the initial table. Its limits are far above the slots, so that the division of a limit among owners does
// not affect the fault scenarios.
const tableYAML = `
backers:
  - {name: orchard, weight: 2, nominalQuota: 24, borrowingLimit: 400, maxUnavailable: 2}
  - {name: quarry, weight: 1, nominalQuota: 24, borrowingLimit: 400, maxUnavailable: 2}
pools: [{name: north}, {name: south}, {name: west}]
queues:
  - {name: north, pools: [north], maxLength: 2000}
  - {name: south, pools: [south], maxLength: 2000}
  - {name: west, pools: [west], maxLength: 2000}
`

// workersPerPool keeps a pool usable while one worker is unavailable.
const workersPerPool = 2

// controlClient sends the requests of the test harness itself; they bypass the fault-injecting proxies.
var controlClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// workerProcess is a stand-in worker behind a fault-injecting proxy.
type workerProcess struct {
	id, pool, address string
	proxy             *faultproxy.Proxy
}

// entryProcess is an entry process; it keeps its addresses across restarts.
type entryProcess struct {
	id, callersAddress, peersAddress, advertisedAddress string
	platformProxy                                       *faultproxy.Proxy
	session                                             *gexec.Session
	startCount                                          int
}

// deployment is a complete deployment of processes: platform, workers and entries.
type deployment struct {
	*WithT
	t               *testing.T
	dir             string
	doc             table.Document
	platformAddress string
	workers         []*workerProcess
	entries         []*entryProcess
	network         *network
	backerTokens    map[string]string
	operatorToken   string

	mu        sync.Mutex
	versions  []checker.VersionSample
	accepted  []checker.Acceptance
	shutdowns []checker.Shutdown
	leaving   []checker.LeavingSpan
}

// newDeployment starts the platform, the workers and the entries, and waits until all entries are ready.
func newDeployment(t *testing.T, entries int) *deployment {
	t.Helper()
	return newDeploymentWith(t, entries, func(*table.Document) {})
}

// newDeploymentWith is like newDeployment, but changes the initial table.
func newDeploymentWith(t *testing.T, entries int, change func(*table.Document)) *deployment {
	t.Helper()
	d := &deployment{WithT: NewWithT(t), t: t, network: newNetwork(), backerTokens: map[string]string{}}
	var err error
	d.dir, err = os.MkdirTemp("", "samphirepoint-integration-")
	d.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("logs of the processes are in %s", d.dir)
			return
		}
		_ = os.RemoveAll(d.dir)
	})
	t.Cleanup(d.network.close)
	d.Expect(yaml.Unmarshal([]byte(tableYAML), &d.doc)).To(Succeed())
	change(&d.doc)
	d.platformAddress = d.startStandin("platform", "standin", "platform", "-listen", "127.0.0.1:0")
	d.startWorkers()
	d.bootstrap()
	for i := range entries {
		host := newHost()
		e := &entryProcess{id: fmt.Sprintf("entry-%d", i+1), callersAddress: host + ":7001", peersAddress: host + ":7101", advertisedAddress: host + ":7102"}
		e.platformProxy = d.newProxy(d.platformAddress)
		d.Expect(d.network.acceptFor(e.id, e.advertisedAddress, e.peersAddress)).To(Succeed())
		d.entries = append(d.entries, e)
	}
	d.writeTokens()
	for _, e := range d.entries {
		d.startEntry(e)
	}
	d.waitReady(d.entries...)
	return d
}

func (d *deployment) newProxy(target string) *faultproxy.Proxy {
	p, err := faultproxy.New("127.0.0.1:0", target)
	d.Expect(err).NotTo(HaveOccurred())
	d.t.Cleanup(p.Close)
	return p
}

// startProcess runs the binary with its output in a log file; the process is killed when the test ends.
func (d *deployment) startProcess(name string, args ...string) *gexec.Session {
	out, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	d.Expect(err).NotTo(HaveOccurred())
	cmd := exec.Command(binaryPath, args...)
	// The processes are killed when the test process ends, even if it is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	session, err := gexec.Start(cmd, out, out)
	d.Expect(err).NotTo(HaveOccurred())
	d.t.Cleanup(func() {
		session.Kill()
		<-session.Exited
		_ = out.Close()
	})
	return session
}

var listenPattern = regexp.MustCompile(`listens on (\S+)`)

// startStandin starts a stand-in and returns the listen address that it prints.
func (d *deployment) startStandin(name string, args ...string) string {
	session := d.startProcess(name, args...)
	d.Eventually(session.Out.Contents, startTimeout, "10ms").Should(MatchRegexp(listenPattern.String()))
	return string(listenPattern.FindSubmatch(session.Out.Contents())[1])
}

func (d *deployment) startWorkers() {
	for _, pool := range d.doc.Pools {
		for i := range workersPerPool {
			id := fmt.Sprintf("%s-%d", pool.Name, i+1)
			host := newHost()
			worker := &workerProcess{id: id, pool: pool.Name, address: host + ":7201"}
			worker.proxy = d.newProxy(worker.address)
			d.startStandin(id, "standin", "worker", "-id", id, "-listen", worker.address, "-advertise", worker.proxy.Address(),
				"-zone", "z1", "-rack", "r-"+id, "-platform", "http://"+d.platformAddress)
			d.workers = append(d.workers, worker)
		}
	}
}

// bootstrap writes the instance rows and the initial version of the table.
func (d *deployment) bootstrap() {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	client := services.NewClient("http://"+d.platformAddress, nil)
	rows := fleet.NewStore(client, nil, time.Now)
	for _, worker := range d.workers {
		_, err := rows.Register(ctx, []services.Instance{{ID: worker.id, Kind: services.KindWorker, Address: worker.proxy.Address(),
			Zone: "z1", Rack: "r-" + worker.id, Slots: workerd.DefaultSlots}}, worker.pool)
		d.Expect(err).NotTo(HaveOccurred())
	}
	_, err := table.NewStore(client, table.Options{}).Bootstrap(ctx, &d.doc, "operator", "initial table")
	d.Expect(err).NotTo(HaveOccurred())
}

func (d *deployment) writeTokens() {
	var file struct {
		Tokens     []auth.Entry `yaml:"tokens"`
		PeerTokens []string     `yaml:"peerTokens"`
	}
	add := func(name string, role auth.Role) string {
		token, line := auth.NewToken(name, role)
		file.Tokens = append(file.Tokens, line)
		return token
	}
	for _, b := range d.doc.Backers {
		d.backerTokens[b.Name] = add(b.Name, auth.RoleBacker)
	}
	d.operatorToken = add("operator", auth.RoleOperator)
	for _, e := range d.entries {
		token, _ := auth.NewToken(e.id, auth.RolePeer)
		d.network.registerToken(e.id, token)
		file.PeerTokens = append(file.PeerTokens, token)
	}
	for i, e := range d.entries {
		// An entry sends the first token and accepts all of them.
		file.PeerTokens[0], file.PeerTokens[i] = file.PeerTokens[i], file.PeerTokens[0]
		data, err := yaml.Marshal(file)
		d.Expect(err).NotTo(HaveOccurred())
		d.Expect(os.WriteFile(filepath.Join(d.dir, e.id+".tokens.yaml"), data, 0o600)).To(Succeed())
		file.PeerTokens[0], file.PeerTokens[i] = file.PeerTokens[i], file.PeerTokens[0]
	}
}

const settingsYAML = `
id: %s
zone: z1
zones: [z1]
listen: {callers: "%s", peers: "%s"}
advertise: {peers: "%s"}
platform: http://%s
peers: [%s]
tokens: %s
shutdown: {balancerDelay: 1s, drainTimeout: 20s}
moves: {policy: fixed}
`

// startEntry starts or restarts an entry.
func (d *deployment) startEntry(e *entryProcess) {
	var peers []string
	for _, other := range d.entries {
		if other != e {
			peers = append(peers, `"`+other.advertisedAddress+`"`)
		}
	}
	file := filepath.Join(d.dir, e.id+".yaml")
	data := fmt.Sprintf(settingsYAML, e.id, e.callersAddress, e.peersAddress, e.advertisedAddress, e.platformProxy.Address(), strings.Join(peers, ", "), e.id+".tokens.yaml")
	d.Expect(os.WriteFile(file, []byte(data), 0o600)).To(Succeed())
	e.startCount++
	e.session = d.startProcess(fmt.Sprintf("%s.%d", e.id, e.startCount), "entry", "-settings", file)
}

// waitReady waits until the entries are ready and each one has at least as many entries in its member view.
func (d *deployment) waitReady(entries ...*entryProcess) {
	d.t.Helper()
	for _, e := range entries {
		d.Eventually(func() bool { return d.isReady(e) }, startTimeout, "20ms").Should(BeTrue(), "%s is not ready", e.id)
		d.Eventually(func() int { return d.countKnownEntries(e) }, startTimeout, "50ms").Should(BeNumerically(">=", len(entries)), "%s does not have the others in its member view", e.id)
	}
}

func (d *deployment) isReady(e *entryProcess) bool {
	resp, err := controlClient.Get("http://" + e.callersAddress + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// countKnownEntries returns the number of entries in the member view of e.
func (d *deployment) countKnownEntries(e *entryProcess) int {
	var reply struct {
		Entries []json.RawMessage `json:"entries"`
	}
	if d.operatorRequest(http.MethodGet, "http://"+e.callersAddress+"/admin/table/rollout", nil, &reply) != nil {
		return 0
	}
	return len(reply.Entries)
}

// operatorRequest sends a JSON request with the token of the operator.
func (d *deployment) operatorRequest(method, url string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+d.operatorToken)
	resp, err := controlClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err = io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= 300 {
		return fmt.Errorf("%s %s: status %d: %s", method, url, resp.StatusCode, data)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(data, into)
}

func (d *deployment) setFaults(f platformd.Faults) {
	f.ListLag = standin.Duration(time.Second) // the initial value
	d.Expect(d.operatorRequest(http.MethodPut, "http://"+d.platformAddress+"/faults", f, nil)).To(Succeed())
}

func (d *deployment) setMode(worker *workerProcess, m workerd.Mode) {
	d.Expect(d.operatorRequest(http.MethodPut, "http://"+worker.address+"/mode", m, nil)).To(Succeed())
}

func (d *deployment) signal(e *entryProcess, s syscall.Signal) {
	d.Expect(e.session.Command.Process.Signal(s)).To(Succeed())
}

// expectedOwner returns the entry that owns a pool when all entries are alive.
func (d *deployment) expectedOwner(pool string) *entryProcess {
	var members []membership.Member
	for _, e := range d.entries {
		members = append(members, membership.Member{ID: e.id})
	}
	var pools []membership.Pool
	for _, p := range d.doc.Pools {
		pools = append(pools, membership.Pool{Name: p.Name})
	}
	id := membership.Owners(pools, members)[pool].ID
	for _, e := range d.entries {
		if e.id == id {
			return e
		}
	}
	d.t.Fatalf("no owner of pool %s", pool)
	return nil
}

var (
	readyMetric   = regexp.MustCompile(`(?m)^samphirepoint_ready (\S+)$`)
	versionMetric = regexp.MustCompile(`(?m)^samphirepoint_config_version (\S+)$`)
)

// entriesExcept returns all entries but e.
func (d *deployment) entriesExcept(e *entryProcess) []*entryProcess {
	return slices.DeleteFunc(slices.Clone(d.entries), func(other *entryProcess) bool { return other == e })
}

// terminate shuts an entry down gracefully and returns when it has exited.
func (d *deployment) terminate(e *entryProcess) {
	begin := time.Now()
	d.signal(e, syscall.SIGTERM)
	d.Eventually(e.session, completionTimeout, "20ms").Should(gexec.Exit(0))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shutdowns = append(d.shutdowns, checker.Shutdown{Entry: e.callersAddress, Begin: begin, End: time.Now(), Exclusive: true})
}

// kill sends SIGKILL to an entry and waits until it has exited.
func (d *deployment) kill(e *entryProcess) {
	d.signal(e, syscall.SIGKILL)
	<-e.session.Exited
}
