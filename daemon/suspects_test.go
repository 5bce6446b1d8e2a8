package daemon

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/platform"
	"samphirepoint/standin/jobfleet"
)

// Pattern: a worker fails all its runs. Guards against a contract or a health path that doesn't reach the owner of the pool, against questions
// to workers without a fault, and against jobs that fail with the worker.
func TestHealthOfAFailingWorkerIsAsked(t *testing.T) {
	g := NewWithT(t)
	config := strings.Replace(testConfig, `{"name":"pumps"}`, `{"name":"pumps","health_path":"`+jobfleet.HealthPath+`"}`, 1)
	d := deployFleet(t, config)
	d.contracts = []string{platform.ContractHealth}
	d.startAll(t, 2)
	instances := d.fleet.Instances("pumps")
	bad := instances[0]
	d.fleet.Fail(bad, true)
	var paths []string
	for deadline := time.Now().Add(time.Minute); d.fleet.HealthAsked(bad) < 2 && time.Now().Before(deadline); {
		path := fmt.Sprintf("/pumps/%016x", len(paths)+1)
		d.submitSteps(g, path, `{"count":4,"cpu":1000,"mem_mb":100,"estimate_ms":60,"anti_affinity":1}`) // a task for each worker
		paths = append(paths, path)
	}
	g.Expect(d.fleet.HealthAsked(bad)).To(BeNumerically(">=", 2))
	for _, path := range paths {
		d.waitCompleted(g, path)
	}
	for _, other := range append(instances[1:], d.fleet.Instances("routes")...) {
		g.Expect(d.fleet.HealthAsked(other)).To(BeZero(), other)
	}
	violations, _ := d.fleet.Violations()
	g.Expect(violations).To(BeEmpty())
}
