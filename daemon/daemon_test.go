package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"samphirepoint/platform"
	"samphirepoint/standin/jobfleet"
	"samphirepoint/standin/ports"
)

// deployment is a simulated fleet with daemons in front of it.
type deployment struct {
	fleet   *jobfleet.Fleet
	daemons []*runningDaemon
	// contracts are those of the daemons' settings.
	contracts []string
}

type runningDaemon struct {
	*Daemon
	kill context.CancelFunc
	done chan struct{}
}

const testConfig = `{"version":1,"routes":[
 {"name":"q1","host":"jobs.example","path_prefix":"/pumps/","timeout_ms":3000,"target_latency_ms":600,"service":"pumps","attempts":3,"stretch":1.6},
 {"name":"q2","host":"jobs.example","path_prefix":"/routes/","timeout_ms":3000,"target_latency_ms":600,"service":"routes","attempts":3,"stretch":1.6}],
 "services":[{"name":"pumps"},{"name":"routes"},{"name":"common","spare":true}],"limits":{"max_body_bytes":262144}}`

func deploy(t *testing.T, daemons int) *deployment {
	d := deployFleet(t, testConfig)
	d.startAll(t, daemons)
	return d
}

// deployFleet starts a fleet without daemons.
func deployFleet(t *testing.T, config string) *deployment {
	fleet, err := jobfleet.New(map[string]int{"pumps": 4, "routes": 4, jobfleet.SparePool: 2})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	if err := fleet.Configure(json.RawMessage(config)); err != nil {
		t.Fatal(err)
	}
	return &deployment{fleet: fleet}
}

func (d *deployment) startAll(t *testing.T, daemons int) {
	for n := range daemons {
		d.daemons = append(d.daemons, d.start(t, fmt.Sprintf("edge-%d", n)))
	}
}

// start starts a daemon, after the given changes of its settings.
func (d *deployment) start(t *testing.T, name string, change ...func(*platform.Settings)) *runningDaemon {
	port, reservation, err := ports.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	settings, err := platform.ParseSettings([]byte(fmt.Sprintf(`
node: %s
zone: z
ip: 127.0.0.1
listen: {front: "127.0.0.1:%d", ready: "127.0.0.1:%d"}
port_range: [%d, %d]
platform: {address: "%s"}
cloud: {address: "%s"}
bounds: {grace_s: 6, hold_max_ms: 10000, status_s: 120, lease_ms: 300}
contracts: [%s]
`, name, port, port+1, port+2, port+3, d.fleet.StoreAddress(), d.fleet.CloudAddress(), strings.Join(d.contracts, ", "))))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range change {
		c(settings)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningDaemon{Daemon: New(settings, zerolog.Nop()), kill: cancel, done: make(chan struct{})}
	go func() {
		_ = r.Run(ctx)
		close(r.done)
	}()
	t.Cleanup(func() {
		cancel()
		<-r.done
		_ = reservation.Close()
	})
	return r
}

// request sends one request and returns the status, or 0 if there was no response, and the body.
func (r *runningDaemon) request(method, path, body string) (int, string) {
	return r.requestWithKey(method, path, body, "")
}

// requestWithKey is like request, but sends an API key, unless it is "".
func (r *runningDaemon) requestWithKey(method, path, body, key string) (int, string) {
	req, _ := http.NewRequest(method, "http://"+r.settings.Listen.Front+path, strings.NewReader(body))
	req.Host = "jobs.example"
	req.Header.Set("Deadline-Ms", "3000")
	if key != "" {
		req.Header.Set("Authorization", "Token "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	var out strings.Builder
	buf := make([]byte, 512)
	for {
		n, err := resp.Body.Read(buf)
		out.Write(buf[:n])
		if err != nil {
			return resp.StatusCode, out.String()
		}
	}
}

// submit submits a job to one daemon after the other until it is accepted.
func (d *deployment) submit(g *WithT, path string) {
	d.submitSteps(g, path, `{"count":3,"cpu":1000,"mem_mb":100,"estimate_ms":60},{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":60,"after":[0]}`)
}

func (d *deployment) submitSteps(g *WithT, path, steps string) {
	n := 0
	g.Eventually(func() int {
		n++
		status, _ := d.daemons[n%len(d.daemons)].request("POST", path, `{"task_spec":"x","steps":[`+steps+`]}`)
		return status
	}, time.Minute, 20*time.Millisecond).Should(Equal(200))
}

// waitCompleted waits until a job is reported as completed, asking one daemon after the other.
func (d *deployment) waitCompleted(g *WithT, path string) {
	n := 0
	g.Eventually(func() string {
		n++
		_, body := d.daemons[n%len(d.daemons)].request("GET", path, "")
		return body
	}, time.Minute, 20*time.Millisecond).Should(ContainSubstring("completed"), path)
}

// Guards against work that is lost, run twice or reported wrongly while daemons die, leave and join during a wave of upkeep.
func TestJobsSurviveDaemonChangesAndWaves(t *testing.T) {
	g := NewWithT(t)
	d := deploy(t, 3)
	var paths []string
	add := func(n int) {
		for range n {
			queue := []string{"/pumps/", "/routes/"}[len(paths)%2]
			path := fmt.Sprintf("%s%016x", queue, len(paths)+1)
			d.submit(g, path)
			paths = append(paths, path)
		}
	}
	add(8)
	g.Expect(d.fleet.Wave(1, append(d.fleet.Instances("pumps"), d.fleet.Instances("routes")...), 2)).To(Succeed())
	killed := d.daemons[0]
	killed.kill()
	<-killed.done
	d.daemons = append(d.daemons[1:], d.start(t, "edge-3"))
	add(8)
	leavingDaemon := d.daemons[0]
	leavingDaemon.Leave()
	d.daemons = d.daemons[1:]
	add(8)
	for _, p := range paths {
		d.waitCompleted(g, p)
	}
	g.Eventually(d.fleet.MaintenanceStarted, time.Minute, 50*time.Millisecond).Should(Equal(8))
	<-leavingDaemon.done
	broken, done := d.fleet.Violations()
	g.Expect(broken).To(BeEmpty())
	g.Expect(done).To(Equal(24 * 5))
}

// Guards against responses that contradict the configuration, and against a return to an older version of it.
func TestConfigurationInForce(t *testing.T) {
	g := NewWithT(t)
	d := deploy(t, 2)
	d.submit(g, "/pumps/00000000000000aa")
	status, _ := d.daemons[0].request("GET", "/nowhere/00000000000000aa", "")
	g.Expect(status).To(Equal(404))
	status, _ = d.daemons[0].request("GET", "/pumps/00000000000000ff", "")
	g.Expect(status).To(Equal(410))
	g.Expect(d.fleet.Configure(json.RawMessage(strings.Replace(strings.Replace(testConfig, `"version":1`, `"version":9`, 1), "/routes/", "/roads/", 1)))).To(Succeed())
	for _, r := range d.daemons {
		g.Eventually(func() int {
			s, _ := r.request("GET", "/roads/", "")
			return s
		}, time.Minute, 20*time.Millisecond).Should(Equal(200))
		s, _ := r.request("GET", "/routes/", "")
		g.Expect(s).To(Equal(404))
	}
	g.Expect(d.fleet.Configure(json.RawMessage(testConfig))).To(Succeed())
	d.submit(g, "/roads/00000000000000ab")
}

// Guards against unreadable entries of the worker list stopping a daemon, and against an invalid body being accepted as a job.
func TestBadInputIsRefused(t *testing.T) {
	g := NewWithT(t)
	d := deploy(t, 1)
	d.submit(g, "/pumps/00000000000000ba")
	for _, body := range []string{"", "{", `{"steps":[]}`, `{"steps":[{"count":0}]}`, `{"steps":[{"count":1,"after":[0]}]}`, `{"steps":[{"count":-3}]}`, `{"steps":[{"count":999999999}]}`, `{"repeat_count":999999999,"steps":[{"count":1}]}`} {
		status, _ := d.daemons[0].request("POST", "/pumps/00000000000000bb", body)
		g.Expect(status).To(Equal(400), body)
	}
	status, _ := d.daemons[0].request("POST", "/pumps/short", `{"steps":[{"count":1}]}`)
	g.Expect(status).To(Equal(404))
	status, _ = d.daemons[0].request("GET", "/pumps/00000000000000bb", "")
	g.Expect(status).To(Equal(410))
}
