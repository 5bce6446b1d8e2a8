package upkeep

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"samphirepoint/engine"
	"samphirepoint/owner"
	"samphirepoint/rows"
	"samphirepoint/verdict"
)

// Errors of orders for instances.
var (
	// ErrFenced: the platform has seen a higher token for the instance.
	ErrFenced = errors.New("upkeep: another holder has given orders for the instance")
	// ErrBusy: the instance isn't up, or it leaves.
	ErrBusy = errors.New("upkeep: the instance is busy")
	// ErrNotAsked: the instance is not of the wave, or is not known.
	ErrNotAsked = errors.New("upkeep: the order is not for this instance")
)

// Instances is the platform's instance service.
type Instances interface {
	List(ctx context.Context) ([]Instance, error)
	// Upkeep and Move return nil once the order is or was carried out. Other errors than those above leave it open.
	Upkeep(ctx context.Context, instance string, wave int64, holder string, token int64) error
	Move(ctx context.Context, instance, pool, holder string, token int64) error
}

// Pools asks the owners of pools.
type Pools interface {
	Report(ctx context.Context, pool string) (engine.PoolReport, error)
	// Cordon keeps new work off a worker for a while; length 0 ends that.
	Cordon(ctx context.Context, pool, worker string, length time.Duration) (empty, known bool, err error)
	// Gone tells the owner that a worker's life is over.
	Gone(ctx context.Context, pool, worker string) error
	// Pools lists the pools by name, with spare ones true.
	Pools() map[string]bool
}

// Waves gives the waves that operators have asked for.
type Waves interface {
	Waves() []Wave
	// Report tells operators the state of a wave.
	Report(ctx context.Context, wave int64, completed bool) error
}

// TableFleet holds one row an instance that was ever ordered anything.
const TableFleet = "fleet"

// keyBaseline is the row with the instances that each pool had at first, keyTurns the one with each pool's last surge.
const (
	keyBaseline = "~baseline"
	keyTurns    = "~turns"
)

// Settings are what a Controller needs.
type Settings struct {
	Duty      string
	Holder    string
	Token     int64
	ClaimVer  int64
	Store     rows.Store
	Instances Instances
	Pools     Pools
	Waves     Waves
	// HolderGap is the time to keep from another holder's orders for the same instance.
	HolderGap time.Duration
	Log       zerolog.Logger
	Now       func() time.Duration
}

const (
	// roundPause is the time between two rounds.
	roundPause = 250 * time.Millisecond
	// cordonFor is how long a cordon lasts unless it is renewed; each round renews it.
	cordonFor = 2500 * time.Millisecond
	// callTime bounds one call.
	callTime = 900 * time.Millisecond
	// gapSlack is added to the holder gap for clocks and slow orders.
	gapSlack = time.Second
)

// Controller has the fleet's duties under one token.
type Controller struct {
	set    Settings
	ctx    context.Context
	cancel context.CancelFunc

	duties map[string]Duty
	vers   map[string]int64
	held   map[string]string // instance -> worker under cordon
	// heldSince is since when each is held, restUntil until when one is left alone after that was in vain.
	heldSince map[string]time.Duration
	restUntil map[string]time.Duration
	reported  map[int64]string
	listed    map[string]Instance
	fenced    bool

	forecast *Forecast
	baseline map[string]int
	// lives are the workers that the instances were last known to run, ended those whose pool hasn't been told yet.
	lives   map[string]Instance
	ended   map[string]string
	surplus map[string]time.Duration
}

// New returns a controller under a claim.
func New(ctx context.Context, s Settings) *Controller {
	c, cancel := context.WithCancel(ctx)
	return &Controller{set: s, ctx: c, cancel: cancel, duties: map[string]Duty{}, vers: map[string]int64{}, held: map[string]string{}, heldSince: map[string]time.Duration{}, restUntil: map[string]time.Duration{}, reported: map[int64]string{}, lives: map[string]Instance{}, ended: map[string]string{}, forecast: NewForecast(), surplus: map[string]time.Duration{}}
}

// Token is the fencing token of the orders.
func (c *Controller) Token() int64 { return c.set.Token }

// Stop ends the duties.
func (c *Controller) Stop() { c.cancel() }

// Run works until it is stopped or succeeded.
func (c *Controller) Run() error {
	defer c.cancel()
	for c.load() != nil {
		if !c.pause(200 * time.Millisecond) {
			return nil
		}
	}
	c.set.Log.Info().Int64("token", c.set.Token).Int("duties", len(c.duties)).Msg("fleet duties taken")
	for c.ctx.Err() == nil && !c.fenced {
		c.round()
		c.pause(roundPause)
	}
	c.set.Log.Info().Int64("token", c.set.Token).Bool("fenced", c.fenced).Msg("fleet duties given up")
	return nil
}

func (c *Controller) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (c *Controller) load() error {
	ctx, cancel := context.WithTimeout(c.ctx, 2*callTime)
	defer cancel()
	list, _, err := c.set.Store.Read(ctx, TableFleet, c.set.Duty)
	if err != nil {
		return err
	}
	for _, r := range list {
		if r.Name == keyBaseline {
			_ = json.Unmarshal(r.Value, &c.baseline)
			continue
		}
		if r.Name == keyTurns {
			var turns map[string]Turn
			_ = json.Unmarshal(r.Value, &turns)
			c.forecast.Recall(turns, c.set.Now(), time.Now().UnixMilli())
			continue
		}
		var d Duty
		if json.Unmarshal(r.Value, &d) == nil {
			c.duties[r.Name], c.vers[r.Name] = d, r.Ver
		}
	}
	return nil
}

// Ordered lists the workers whose instance has an order that may be carried out at any moment.
func Ordered(ctx context.Context, store rows.Store, duty string) ([]string, error) {
	list, _, err := store.Read(ctx, TableFleet, duty)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, r := range list {
		var d Duty
		if json.Unmarshal(r.Value, &d) == nil && d.Open && d.Worker != "" {
			out = append(out, d.Worker)
		}
	}
	return out, nil
}

// round looks at everything once and does what is due.
func (c *Controller) round() {
	waves := c.openWaves()
	s, err := c.look(waves)
	if err != nil {
		c.set.Log.Warn().Err(err).Msg("fleet not seen")
		return
	}
	want := c.plan(s)
	c.release(want)
	orders := c.cordon(s, want)
	c.carryOut(s, orders)
	for _, w := range waves {
		c.report(s, w)
	}
}

func (c *Controller) openWaves() []Wave {
	var out []Wave
	for _, w := range c.set.Waves.Waves() {
		if c.reported[w.ID] != "completed" {
			out = append(out, w)
		}
	}
	return out
}

// look reads the instances and asks the owners of the pools.
func (c *Controller) look(waves []Wave) (*State, error) {
	ctx, cancel := context.WithTimeout(c.ctx, callTime)
	defer cancel()
	list, err := c.set.Instances.List(ctx)
	if err != nil {
		return nil, err
	}
	s := &State{Now: c.set.Now(), Instances: map[string]Instance{}, Waves: waves, Duties: c.duties, Reports: map[string]engine.PoolReport{}, Spare: map[string]bool{}}
	for _, i := range list {
		s.Instances[i.ID] = i
	}
	c.takeLives(s)
	c.tellEnded(ctx, s)
	if err := c.learnBaseline(ctx, s); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var g errgroup.Group
	for pool, spare := range c.set.Pools.Pools() {
		s.Spare[pool] = spare
		if spare {
			continue
		}
		g.Go(func() error {
			if r, err := c.set.Pools.Report(ctx, pool); err == nil {
				mu.Lock()
				s.Reports[pool] = r
				mu.Unlock()
			}
			return nil
		})
	}
	_ = g.Wait()
	return s, nil
}

// tellEnded tells the pools' owners of workers whose instance has no longer that life. Their leases need not be waited for.
func (c *Controller) tellEnded(ctx context.Context, s *State) {
	for id, old := range c.lives {
		if now, ok := s.Instances[id]; (!ok || now.Worker != old.Worker) && old.Worker != "" {
			c.ended[old.Worker] = old.Pool
		}
	}
	c.lives = s.Instances
	for worker, pool := range c.ended {
		if s.Spare[pool] || c.set.Pools.Gone(ctx, pool, worker) == nil {
			delete(c.ended, worker)
		}
	}
}

// learnBaseline stores how the instances are divided before the first move.
func (c *Controller) learnBaseline(ctx context.Context, s *State) error {
	if c.baseline == nil && len(s.Instances) > 0 {
		b := map[string]int{}
		for _, i := range s.Instances {
			b[i.Pool]++
		}
		value, err := json.Marshal(b)
		if err != nil {
			panic(err) // Counts by name are plain values.
		}
		key := rows.Key{Table: TableFleet, Part: c.set.Duty, Name: keyBaseline}
		if _, err := c.set.Store.Transact(ctx, rows.Tx{Expected: []rows.Condition{c.claim(), {Key: key}}, Writes: []rows.Write{{Key: key, Value: value}}}); err != nil {
			return err
		}
		c.baseline = b
	}
	s.Baseline = c.baseline
	return nil
}

func (c *Controller) claim() rows.Condition {
	return rows.Condition{Key: rows.Key{Table: owner.TableOwners, Part: c.set.Duty, Name: owner.OwnerKey}, Ver: c.set.ClaimVer}
}

// order is one order that is about to be given.
type order struct {
	instance Instance
	wave     int64
	to       string
}

func (c *Controller) plan(s *State) map[string]order {
	want := map[string]order{}
	s.resting = c.rest(s.Now)
	c.reopen(s, want)
	for _, w := range s.Waves {
		held := map[string]bool{}
		for id := range c.held {
			held[id] = true
		}
		for _, id := range s.PlanWave(w, held) {
			if _, taken := want[id]; !taken {
				want[id] = order{instance: s.Instances[id], wave: w.ID}
			}
		}
	}
	c.planMoves(s, want)
	return want
}

const (
	// holdLongest is how long an instance is kept free of new work before it is given up on for restLength: what lasts
	// there may have no other place.
	holdLongest = 6 * time.Second
	restLength  = 4 * time.Second
)

// rest gives up on instances that have been held in vain, and returns those that are left alone now.
func (c *Controller) rest(now time.Duration) map[string]bool {
	for id := range c.held {
		since, ok := c.heldSince[id]
		switch {
		case !ok:
			c.heldSince[id] = now
		case now-since > holdLongest:
			c.restUntil[id] = now + restLength
			delete(c.heldSince, id)
		}
	}
	for id := range c.heldSince {
		if _, ok := c.held[id]; !ok {
			delete(c.heldSince, id)
		}
	}
	out := map[string]bool{}
	for id, until := range c.restUntil {
		if now < until {
			out[id] = true
		}
	}
	return out
}

// planMoves adds the moves that follow the pools' demand, of instances that no wave wants.
func (c *Controller) planMoves(s *State, want map[string]order) {
	s.inHand = map[string]bool{}
	for id := range want {
		s.inHand[id] = true
	}
	changed := false
	for pool, r := range s.Reports {
		if turned, on := c.forecast.Observe(pool, r, s.roomOf(pool)*float64(s.Baseline[pool]), s.Now); turned {
			c.set.Log.Info().Str("pool", pool).Bool("surging", on).Msg("demand turned")
			changed = true
		}
	}
	if changed {
		c.storeTurns()
	}
	for id, to := range s.PlanMoves(c.forecast, c.surplus) {
		want[id] = order{instance: s.Instances[id], to: to}
	}
}

// storeTurns leaves the seen surges to a successor. A failure costs the successor some foresight only.
func (c *Controller) storeTurns() {
	value, err := json.Marshal(c.forecast.Turns(c.set.Now(), time.Now().UnixMilli()))
	if err != nil {
		panic(err) // Times by name are plain values.
	}
	ctx, cancel := context.WithTimeout(c.ctx, callTime)
	defer cancel()
	key := rows.Key{Table: TableFleet, Part: c.set.Duty, Name: keyTurns}
	if _, err := c.set.Store.Transact(ctx, rows.Tx{Expected: []rows.Condition{c.claim()}, Writes: []rows.Write{{Key: key, Value: value}}}); err != nil {
		c.set.Log.Warn().Err(err).Msg("turns not written")
	}
}

// takeLives closes what the list shows to be over: an instance in a new life was carried off by its order.
func (c *Controller) takeLives(s *State) {
	for id, d := range c.duties {
		i, ok := s.Instances[id]
		if ok && d.Open && d.To != "" && i.Pool == d.To {
			d.Open = false
			c.duties[id] = d
		}
	}
}

// reopen adds the instances whose order has no known outcome: it is given again until it has.
func (c *Controller) reopen(s *State, want map[string]order) {
	for id, d := range c.duties {
		if i, ok := s.Instances[id]; ok && d.Open {
			want[id] = order{instance: i, wave: d.Wave, to: d.To}
		}
	}
}

// release ends the cordons of instances that are no longer wanted.
func (c *Controller) release(want map[string]order) {
	for id, worker := range c.held {
		if _, ok := want[id]; ok {
			continue
		}
		delete(c.held, id)
		ctx, cancel := context.WithTimeout(c.ctx, callTime)
		_, _, _ = c.set.Pools.Cordon(ctx, c.listed[id].Pool, worker, 0)
		cancel()
	}
}

// cordon keeps new work off the wanted instances and returns the orders for those that are empty.
func (c *Controller) cordon(s *State, want map[string]order) []order {
	c.listed = s.Instances
	var mu sync.Mutex
	var out []order
	var g errgroup.Group
	ctx, cancel := context.WithTimeout(c.ctx, callTime)
	defer cancel()
	for id, o := range want {
		if !c.mayOrder(id) {
			continue
		}
		if s.Spare[o.instance.Pool] || o.instance.Worker == "" || o.instance.State != StateUp {
			out = append(out, o)
			continue
		}
		c.held[id] = o.instance.Worker
		g.Go(func() error {
			empty, known, err := c.set.Pools.Cordon(ctx, o.instance.Pool, o.instance.Worker, cordonFor)
			if err == nil && known && empty {
				mu.Lock()
				out = append(out, o)
				mu.Unlock()
			}
			return nil
		})
	}
	_ = g.Wait()
	return out
}

// mayOrder keeps the distance from another holder's last order for the instance.
func (c *Controller) mayOrder(id string) bool {
	d, ok := c.duties[id]
	if !ok || d.Holder == c.holder() {
		return true
	}
	return time.Now().UnixMilli()-d.AtMS > (c.set.HolderGap + gapSlack).Milliseconds()
}

// holder names this tenure: a daemon that takes the duties again is another holder.
func (c *Controller) holder() string { return c.set.Holder }

// carryOut writes the orders down, gives them, and writes what is known then.
func (c *Controller) carryOut(s *State, orders []order) {
	if len(orders) == 0 {
		return
	}
	for _, o := range orders {
		d := c.duties[o.instance.ID]
		if !d.Open {
			d.Worker = o.instance.Worker
		}
		d.Holder, d.AtMS, d.Wave, d.To, d.Open = c.holder(), time.Now().UnixMilli(), o.wave, o.to, true
		d.Begun = slices.Clone(d.Begun)
		c.duties[o.instance.ID] = d
	}
	if !c.write(orders) {
		return
	}
	results := make([]error, len(orders))
	var g errgroup.Group
	for i, o := range orders {
		g.Go(func() error {
			results[i] = c.give(o)
			return nil
		})
	}
	_ = g.Wait()
	for i, o := range orders {
		c.settle(o, results[i])
	}
	c.write(orders)
}

func (c *Controller) give(o order) error {
	ctx, cancel := context.WithTimeout(c.ctx, callTime)
	defer cancel()
	if o.to != "" {
		return c.set.Instances.Move(ctx, o.instance.ID, o.to, c.set.Holder, c.set.Token)
	}
	return c.set.Instances.Upkeep(ctx, o.instance.ID, o.wave, c.set.Holder, c.set.Token)
}

// settle takes in the outcome of an order.
func (c *Controller) settle(o order, err error) {
	id := o.instance.ID
	d := c.duties[id]
	c.set.Log.Info().Str("instance", id).Str("pool", o.instance.Pool).Int64("wave", o.wave).Str("to", o.to).AnErr("outcome", err).Msg("order for instance")
	switch {
	case err == nil || errors.Is(err, ErrNotAsked):
		d.Open = false
		if o.wave != 0 && !slices.Contains(d.Begun, o.wave) {
			d.Begun = append(d.Begun, o.wave)
		}
		delete(c.held, id)
	case errors.Is(err, ErrFenced):
		c.fenced = true
		return
	case errors.Is(err, ErrBusy), verdict.Is(err, verdict.NotRun):
		d.Open, d.Wave, d.To = false, 0, ""
	}
	c.duties[id] = d
}

// write stores the duties of the orders' instances under the claim. Without success, nothing may be ordered.
func (c *Controller) write(orders []order) bool {
	claim := c.claim()
	for len(orders) > 0 {
		n := min(len(orders), rows.MaxEntries/2)
		tx := rows.Tx{Expected: []rows.Condition{claim}}
		for _, o := range orders[:n] {
			value, err := json.Marshal(c.duties[o.instance.ID])
			if err != nil {
				panic(err) // A duty holds plain values only.
			}
			tx.Writes = append(tx.Writes, rows.Write{Key: rows.Key{Table: TableFleet, Part: c.set.Duty, Name: o.instance.ID}, Value: value})
		}
		ctx, cancel := context.WithTimeout(c.ctx, callTime)
		_, err := c.set.Store.Transact(ctx, tx)
		cancel()
		var conflict *rows.Conflict
		if errors.As(err, &conflict) {
			c.fenced = true
		}
		if err != nil {
			c.set.Log.Warn().Err(err).Msg("duties not written")
			return false
		}
		orders = orders[n:]
	}
	return true
}

// report tells operators how far a wave is, once for each state.
func (c *Controller) report(s *State, w Wave) {
	state := "running"
	if len(s.Left(w)) == 0 && !c.anyOpen(w) {
		state = "completed"
	}
	if c.reported[w.ID] == state {
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, callTime)
	defer cancel()
	if err := c.set.Waves.Report(ctx, w.ID, state == "completed"); err == nil {
		c.reported[w.ID] = state
		c.set.Log.Info().Int64("wave", w.ID).Str("state", state).Msg("wave")
	}
}

func (c *Controller) anyOpen(w Wave) bool {
	for _, id := range w.Instances {
		if d := c.duties[id]; d.Open && d.Wave == w.ID {
			return true
		}
	}
	return false
}
