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

// documentYAML sets limits far above the slots: the division of a limit among owners is not what the faults are about.
const documentYAML = `
backers:
  - {name: orchard, weight: 2, nominalQuota: 24, borrowingLimit: 400, maxUnavailable: 2}
  - {name: quarry, weight: 1, nominalQuota: 24, borrowingLimit: 400, maxUnavailable: 2}
pools: [{name: north}, {name: south}, {name: west}]
queues:
  - {name: north, pools: [north], maxLength: 2000}
  - {name: south, pools: [south], maxLength: 2000}
  - {name: west, pools: [west], maxLength: 2000}
`

// workersPerPool leaves a pool usable while one worker is out.
const workersPerPool = 2

// control is the client for everything that the harness itself asks; faults do not lie in its way.
var control = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// workerProcess is a stand-in worker behind a proxy.
type workerProcess struct {
	id, pool, address string
	proxy             *faultproxy.Proxy
}

// entryProcess is an entry; it keeps its addresses when it is started again.
type entryProcess struct {
	id, callers, peers, front string
	platform                  *faultproxy.Proxy
	session                   *gexec.Session
	starts                    int
}

// world is a whole deployment of processes.
type world struct {
	*WithT
	t        *testing.T
	dir      string
	doc      table.Document
	platform string // address
	workers  []*workerProcess
	entries  []*entryProcess
	network  *network
	tokens   map[string]string
	operator string

	mu        sync.Mutex
	versions  []checker.VersionSample
	accepted  []checker.Acceptance
	shutdowns []checker.Shutdown
	leaving   []checker.LeavingSpan
}

// newWorld starts platform, workers and entries and waits until all entries are ready.
func newWorld(t *testing.T, entries int) *world {
	t.Helper()
	return newWorldWith(t, entries, func(*table.Document) {})
}

// newWorldWith is newWorld with changes of the table.
func newWorldWith(t *testing.T, entries int, change func(*table.Document)) *world {
	t.Helper()
	w := &world{WithT: NewWithT(t), t: t, network: newNetwork(), tokens: map[string]string{}}
	var err error
	w.dir, err = os.MkdirTemp("", "samphirepoint-integration-")
	w.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("logs of the processes are in %s", w.dir)
			return
		}
		_ = os.RemoveAll(w.dir)
	})
	t.Cleanup(w.network.close)
	w.Expect(yaml.Unmarshal([]byte(documentYAML), &w.doc)).To(Succeed())
	change(&w.doc)
	w.platform = w.startStandin("platform", "standin", "platform", "-listen", "127.0.0.1:0")
	w.startWorkers()
	w.bootstrap()
	for i := range entries {
		host := newHost()
		e := &entryProcess{id: fmt.Sprintf("entry-%d", i+1), callers: host + ":7001", peers: host + ":7101", front: host + ":7102"}
		e.platform = w.proxy(w.platform)
		w.Expect(w.network.front(e.id, e.front, e.peers)).To(Succeed())
		w.entries = append(w.entries, e)
	}
	w.writeTokens()
	for _, e := range w.entries {
		w.startEntry(e)
	}
	w.waitReady(w.entries...)
	return w
}

func (w *world) proxy(target string) *faultproxy.Proxy {
	p, err := faultproxy.New("127.0.0.1:0", target)
	w.Expect(err).NotTo(HaveOccurred())
	w.t.Cleanup(p.Close)
	return p
}

// start runs the binary with its output in a file; the process is killed when the test ends.
func (w *world) start(name string, args ...string) *gexec.Session {
	out, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	w.Expect(err).NotTo(HaveOccurred())
	cmd := exec.Command(program, args...)
	// A test process that is killed takes its processes with it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	session, err := gexec.Start(cmd, out, out)
	w.Expect(err).NotTo(HaveOccurred())
	w.t.Cleanup(func() {
		session.Kill()
		<-session.Exited
		_ = out.Close()
	})
	return session
}

var listensOn = regexp.MustCompile(`listens on (\S+)`)

// startStandin returns the address that the stand-in prints.
func (w *world) startStandin(name string, args ...string) string {
	session := w.start(name, args...)
	w.Eventually(session.Out.Contents, startTimeout, "10ms").Should(MatchRegexp(listensOn.String()))
	return string(listensOn.FindSubmatch(session.Out.Contents())[1])
}

func (w *world) startWorkers() {
	for _, pool := range w.doc.Pools {
		for i := range workersPerPool {
			id := fmt.Sprintf("%s-%d", pool.Name, i+1)
			host := newHost()
			worker := &workerProcess{id: id, pool: pool.Name, address: host + ":7201"}
			worker.proxy = w.proxy(worker.address)
			w.startStandin(id, "standin", "worker", "-id", id, "-listen", worker.address, "-advertise", worker.proxy.Address(),
				"-zone", "z1", "-rack", "r-"+id, "-platform", "http://"+w.platform)
			w.workers = append(w.workers, worker)
		}
	}
}

// bootstrap writes the instance rows and the first version of the table.
func (w *world) bootstrap() {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	client := services.NewClient("http://"+w.platform, nil)
	rows := fleet.NewStore(client, nil, time.Now)
	for _, worker := range w.workers {
		_, err := rows.Register(ctx, []services.Instance{{ID: worker.id, Kind: services.KindWorker, Address: worker.proxy.Address(),
			Zone: "z1", Rack: "r-" + worker.id, Slots: workerd.DefaultSlots}}, worker.pool)
		w.Expect(err).NotTo(HaveOccurred())
	}
	_, err := table.NewStore(client, table.Options{}).Bootstrap(ctx, &w.doc, "operator", "initial table")
	w.Expect(err).NotTo(HaveOccurred())
}

func (w *world) writeTokens() {
	var file struct {
		Tokens     []auth.Entry `yaml:"tokens"`
		PeerTokens []string     `yaml:"peerTokens"`
	}
	add := func(name string, role auth.Role) string {
		token, line := auth.NewToken(name, role)
		file.Tokens = append(file.Tokens, line)
		return token
	}
	for _, b := range w.doc.Backers {
		w.tokens[b.Name] = add(b.Name, auth.RoleBacker)
	}
	w.operator = add("operator", auth.RoleOperator)
	for _, e := range w.entries {
		token, _ := auth.NewToken(e.id, auth.RolePeer)
		w.network.identify(e.id, token)
		file.PeerTokens = append(file.PeerTokens, token)
	}
	for i, e := range w.entries {
		// An entry sends the first token and accepts all.
		file.PeerTokens[0], file.PeerTokens[i] = file.PeerTokens[i], file.PeerTokens[0]
		data, err := yaml.Marshal(file)
		w.Expect(err).NotTo(HaveOccurred())
		w.Expect(os.WriteFile(filepath.Join(w.dir, e.id+".tokens.yaml"), data, 0o600)).To(Succeed())
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

// startEntry starts an entry for the first time or again.
func (w *world) startEntry(e *entryProcess) {
	var fronts []string
	for _, other := range w.entries {
		if other != e {
			fronts = append(fronts, `"`+other.front+`"`)
		}
	}
	file := filepath.Join(w.dir, e.id+".yaml")
	data := fmt.Sprintf(settingsYAML, e.id, e.callers, e.peers, e.front, e.platform.Address(), strings.Join(fronts, ", "), e.id+".tokens.yaml")
	w.Expect(os.WriteFile(file, []byte(data), 0o600)).To(Succeed())
	e.starts++
	e.session = w.start(fmt.Sprintf("%s.%d", e.id, e.starts), "entry", "-settings", file)
}

// waitReady waits until the entries are ready and see each other.
func (w *world) waitReady(entries ...*entryProcess) {
	w.t.Helper()
	for _, e := range entries {
		w.Eventually(func() bool { return w.ready(e) }, startTimeout, "20ms").Should(BeTrue(), "%s is not ready", e.id)
		w.Eventually(func() int { return w.knownEntries(e) }, startTimeout, "50ms").Should(BeNumerically(">=", len(entries)), "%s does not see the others", e.id)
	}
}

func (w *world) ready(e *entryProcess) bool {
	resp, err := control.Get("http://" + e.callers + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// knownEntries is the number of entries in the member view of e.
func (w *world) knownEntries(e *entryProcess) int {
	var reply struct {
		Entries []json.RawMessage `json:"entries"`
	}
	if w.do(http.MethodGet, "http://"+e.callers+"/admin/table/rollout", nil, &reply) != nil {
		return 0
	}
	return len(reply.Entries)
}

// do sends a JSON request of the operator.
func (w *world) do(method, url string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+w.operator)
	resp, err := control.Do(req)
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

func (w *world) setFaults(f platformd.Faults) {
	f.ListLag = standin.Duration(time.Second) // as at the start
	w.Expect(w.do(http.MethodPut, "http://"+w.platform+"/faults", f, nil)).To(Succeed())
}

func (w *world) setMode(worker *workerProcess, m workerd.Mode) {
	w.Expect(w.do(http.MethodPut, "http://"+worker.address+"/mode", m, nil)).To(Succeed())
}

func (w *world) signal(e *entryProcess, s syscall.Signal) {
	w.Expect(e.session.Command.Process.Signal(s)).To(Succeed())
}

// owner is the entry that owns a pool when all entries are alive.
func (w *world) owner(pool string) *entryProcess {
	var members []membership.Member
	for _, e := range w.entries {
		members = append(members, membership.Member{ID: e.id})
	}
	var pools []membership.Pool
	for _, p := range w.doc.Pools {
		pools = append(pools, membership.Pool{Name: p.Name})
	}
	id := membership.Owners(pools, members)[pool].ID
	for _, e := range w.entries {
		if e.id == id {
			return e
		}
	}
	w.t.Fatalf("no owner of pool %s", pool)
	return nil
}

var (
	readyMetric   = regexp.MustCompile(`(?m)^samphirepoint_ready (\S+)$`)
	versionMetric = regexp.MustCompile(`(?m)^samphirepoint_config_version (\S+)$`)
)

// without returns the entries other than e.
func (w *world) without(e *entryProcess) []*entryProcess {
	return slices.DeleteFunc(slices.Clone(w.entries), func(other *entryProcess) bool { return other == e })
}

// terminate ends an entry gracefully and returns when it has exited.
func (w *world) terminate(e *entryProcess) {
	begin := time.Now()
	w.signal(e, syscall.SIGTERM)
	w.Eventually(e.session, settleTimeout, "20ms").Should(gexec.Exit(0))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shutdowns = append(w.shutdowns, checker.Shutdown{Entry: e.callers, Begin: begin, End: time.Now(), Exclusive: true})
}

// kill ends an entry at once.
func (w *world) kill(e *entryProcess) {
	w.signal(e, syscall.SIGKILL)
	<-e.session.Exited
}
