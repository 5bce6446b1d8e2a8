package drainer

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/instance"
	"samphirepoint/wave"
)

var now = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// draining returns the input of an instance without work that has been draining for 10 s and whose draining row all
// members have.
func draining() Input {
	return Input{
		Now:          now,
		Instance:     instance.Instance{ID: "w1", Pool: "p", State: instance.Draining, Wave: "wave", Since: now.Add(-10 * time.Second)},
		Worker:       &Worker{Draining: true},
		DrainVersion: 5, Members: []Member{{"a", 5, now}, {"b", 7, now}},
		DrainTimeout: time.Minute, RebootTimeout: time.Minute, Deadline: now.Add(time.Hour),
	}
}

var (
	idempotentTask    = Work{ID: "t1", Task: true, Idempotent: true, Backer: "x"}
	nonIdempotentTask = Work{ID: "t2", Task: true, Backer: "x"}
	request           = Work{ID: "r1", Idempotent: true, Backer: "x"}
)

// Guards against actions that lose work, exceed a budget or block a wave; each case is a state in which a wrong action
// would do so.
func TestDecide(t *testing.T) {
	late := func(in *Input) { in.Now = now.Add(time.Minute) }
	cases := map[string]struct {
		change func(*Input)
		action Action
		waits  string
		tasks  []string
	}{
		"drained":                     {func(*Input) {}, Reboot, "", nil},
		"drained for a move":          {func(in *Input) { in.Instance.Wave, in.Instance.TargetPool = "", "q" }, Release, "", nil},
		"worker does not drain yet":   {func(in *Input) { in.Worker.Draining = false }, Drain, "", nil},
		"member behind":               {func(in *Input) { in.Members[0].FleetVersion = 4 }, Wait, "member a", nil},
		"member unresponsive for 6 s": {func(in *Input) { in.Members[0] = Member{"a", 4, now.Add(-6 * time.Second)} }, Reboot, "", nil},
		"member unresponsive for 5 s": {func(in *Input) { in.Members[0] = Member{"a", 4, now.Add(-5 * time.Second)} }, Wait, "member a", nil},
		"worker unresponsive":         {func(in *Input) { in.Worker = nil }, Wait, "worker w1", nil},
		"work in flight":              {func(in *Input) { in.Worker.Running = []Work{idempotentTask} }, Wait, "work t1", nil},
		"drain timeout": {func(in *Input) { late(in); in.Worker.Running = []Work{idempotentTask, nonIdempotentTask, request} },
			Checkpoint, "", []string{"t1"}},
		"within the checkpoint grace": {func(in *Input) {
			late(in)
			in.Worker.Running, in.Checkpointed = []Work{idempotentTask}, in.Now.Add(-time.Second)
		}, Wait, "work t1", nil},
		"after the checkpoint grace": {func(in *Input) {
			late(in)
			in.Worker.Running, in.Checkpointed = []Work{idempotentTask, nonIdempotentTask}, now
		}, Stop, "", []string{"t1"}},
		"only work that must not stop": {func(in *Input) { late(in); in.Worker.Running = []Work{nonIdempotentTask, request} }, Wait, "work t2", nil},
		"deadline with work":           {func(in *Input) { in.Now = in.Deadline; in.Worker.Running = []Work{nonIdempotentTask} }, Abort, "", nil},
		"deadline when drained":        {func(in *Input) { in.Now = in.Deadline; in.Members = nil }, Reboot, "", nil},
		"wave cancelled":               {func(in *Input) { in.AbortReason = "cancelled" }, Abort, "", nil},
		"rack not ready":               {func(in *Input) { in.RackPeers = []RackPeer{{"w2", true}, {"w3", false}} }, Wait, "instance w3", nil},
		"rack ready":                   {func(in *Input) { in.RackPeers = []RackPeer{{"w2", true}} }, Reboot, "", nil},
		"reboot due":                   {func(in *Input) { in.Instance.State = instance.Rebooting }, RebootWorker, "", nil},
		"reboot is not cancelled":      {func(in *Input) { in.Instance.State = instance.Rebooting; in.AbortReason = "cancelled" }, RebootWorker, "", nil},
		"no reboot while work runs": {func(in *Input) {
			in.Instance.State = instance.Rebooting
			in.Worker.Running = []Work{request}
		}, Wait, "work r1", nil},
		"rebooting": {func(in *Input) { in.Instance.State, in.Worker = instance.Rebooting, nil }, Wait, "worker w1", nil},
		"rebooted":  {func(in *Input) { in.Instance.State, in.Worker.Draining = instance.Rebooting, false }, Serve, "", nil},
		"rebooted, still draining": {func(in *Input) {
			in.Instance.State, in.Instance.RebootOf, in.Worker.Incarnation = instance.Rebooting, 1, 2
		}, Serve, "", nil},
		"undrained before its reboot": {func(in *Input) {
			in.Instance.State, in.Instance.RebootOf = instance.Rebooting, 1
			in.Worker.Incarnation, in.Worker.Draining = 1, false
		}, Drain, "", nil},
		"reboot timeout":               {func(in *Input) { in.Instance.State, in.Worker = instance.Rebooting, nil; late(in) }, Fail, "", nil},
		"serving row, draining worker": {func(in *Input) { in.Instance.State = instance.Serving }, Undrain, "", nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			in := draining()
			c.change(&in)
			d := Decide(in)
			g.Expect(d.Action).To(Equal(c.action), "%+v", d)
			g.Expect(d.Tasks).To(Equal(c.tasks))
			if c.action == Wait {
				g.Expect(d.Waits).NotTo(BeEmpty())
				g.Expect(d.Waits[0].For.String()).To(Equal(c.waits))
				g.Expect(d.Waits[0].From).To(Equal(wave.Node{Kind: wave.KindInstance, Name: "w1"}))
			}
		})
	}
}
