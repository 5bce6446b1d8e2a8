package status

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"

	"samphirepoint/catalog"
	"samphirepoint/cluster"
	"samphirepoint/engine"
	"samphirepoint/verdict"
)

// Placement explains where a job would be placed, and why.
type Placement struct {
	// Version is the version of the configuration by which the daemon found the queue.
	Version int64 `json:"version"`
	// IDChosen is set if the daemon chose the job's ID, which determines the shard.
	IDChosen bool   `json:"idChosen,omitempty"`
	ID       string `json:"id"`
	Queue    string `json:"queue"`
	// Public is set for a queue whose jobs have no workspace.
	Public bool `json:"public,omitempty"`
	cluster.Ownership
	// Shards is the number of shards of the pool, or 0 while it isn't known.
	Shards int `json:"shards"`
	// Cap is what the workspace may have running on all workers together, by the configuration; nil without a cap.
	Cap *engine.Amounts `json:"cap,omitempty"`
	// Report is the answer of the shard's owner. Without it, Unanswered is the reason.
	Report     *engine.PlacementReport `json:"report,omitempty"`
	Unanswered *engine.RefusalReport   `json:"unanswered,omitempty"`
}

// maxJobBytes bounds a job in a request.
const maxJobBytes = 8 << 20

func servePlacement(w http.ResponseWriter, r *http.Request, f Fleet) {
	ctx, cancel := context.WithTimeout(r.Context(), responseTimeout)
	defer cancel()
	var spec engine.Spec
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxJobBytes)).Decode(&spec); err != nil {
		http.Error(w, "invalid job: "+err.Error(), http.StatusBadRequest)
		return
	}
	p, err := ExplainPlacement(ctx, f, spec)
	if err != nil {
		http.Error(w, err.Error(), verdict.Status(err))
		return
	}
	writeJSON(w, p)
}

// ExplainPlacement explains where a job would be placed. It returns an error if the job could not be submitted under the configuration in
// force, whatever the state of the pool.
func ExplainPlacement(ctx context.Context, f Fleet, spec engine.Spec) (Placement, error) {
	cat := f.Catalog()
	if cat == nil {
		return Placement{}, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no configuration yet")
	}
	q, err := findQueue(cat, spec.Queue)
	if err != nil {
		return Placement{}, err
	}
	if err := spec.Check(); err != nil {
		return Placement{}, verdict.Wrap(err, verdict.NotRun, http.StatusBadRequest)
	}
	p := Placement{Version: cat.Version, Queue: q.Name, Public: q.Public || !cat.HasKeys(), Shards: f.Shards(q.Pool)}
	if err := p.resolveWorkspace(cat, &spec); err != nil {
		return Placement{}, err
	}
	if p.IDChosen = spec.ID == ""; p.IDChosen {
		spec.ID = randomJobID()
	}
	p.ID = spec.ID
	settings := q.Queue
	spec.Settings = &settings
	p.ask(ctx, f, q.Pool, spec)
	return p, nil
}

func findQueue(cat *catalog.Catalog, name string) (*catalog.Queue, error) {
	for i := range cat.Queues {
		if cat.Queues[i].Name == name {
			return &cat.Queues[i], nil
		}
	}
	return nil, verdict.New(verdict.NotRun, http.StatusNotFound, "version %d of the configuration has no queue %q", cat.Version, name)
}

// resolveWorkspace checks the workspace of a job. The job of a public queue has none, whichever the caller belongs to.
func (p *Placement) resolveWorkspace(cat *catalog.Catalog, spec *engine.Spec) error {
	if spec.Workspace == "" && p.Public {
		return nil
	}
	if spec.Workspace == "" {
		return verdict.New(verdict.NotRun, http.StatusBadRequest, "callers of queue %q need a key: name their workspace", p.Queue)
	}
	for _, ws := range cat.Workspaces {
		if ws.Name != spec.Workspace {
			continue
		}
		if p.Public {
			spec.Workspace = ""
		} else if ws.Cap != (engine.Resources{}) {
			limit := ws.Cap.Amounts()
			p.Cap = &limit
		}
		return nil
	}
	return verdict.New(verdict.NotRun, http.StatusNotFound, "version %d of the configuration has no workspace %q", cat.Version, spec.Workspace)
}

// ask asks the owner of the job's shard.
func (p *Placement) ask(ctx context.Context, f Fleet, pool string, spec engine.Spec) {
	owner, report, err := f.ExplainPlacement(ctx, pool, spec)
	p.Ownership = owner
	if err != nil {
		p.Unanswered = engine.NewRefusalReport(err.Error(), verdict.RetryAfter(err))
		return
	}
	p.Report = &report
}

// jobIDBytes is the number of bytes that a job's ID encodes in hexadecimal digits.
const jobIDBytes = 8

func randomJobID() string {
	var id [jobIDBytes]byte
	_, _ = rand.Read(id[:]) // never fails
	return hex.EncodeToString(id[:])
}
