package admin

import (
	"bytes"
	"context"
	"fmt"
	"net/http"

	"samphirepoint/auth"
	"samphirepoint/table"
)

// RegisterTable adds the table's routes to mux.
func RegisterTable(mux *http.ServeMux, opt TableOptions) {
	h := &tableHandler{opt}
	mux.HandleFunc("GET "+PathTable, h.serve(auth.RoleViewer, h.show))
	mux.HandleFunc("GET "+PathTableDraft, h.serve(auth.RoleViewer, h.draft))
	mux.HandleFunc("PUT "+PathTableDraft, h.serve(auth.RoleOperator, h.setCells))
	mux.HandleFunc("DELETE "+PathTableDraft, h.serve(auth.RoleOperator, h.discard))
	mux.HandleFunc("POST "+PathTableAccept, h.serve(auth.RoleOperator, h.accept))
	mux.HandleFunc("GET "+PathTableHistory, h.serve(auth.RoleViewer, h.history))
	mux.HandleFunc("GET "+PathTableDiff, h.serve(auth.RoleViewer, h.diff))
	mux.HandleFunc("GET "+PathTableRollout, h.serve(auth.RoleViewer, h.rollout))
	mux.HandleFunc("GET "+PathTableCSV, h.serve(auth.RoleViewer, h.exportCSV))
	mux.HandleFunc("PUT "+PathTableCSV, h.serve(auth.RoleOperator, h.importCSV))
}

type tableHandler struct{ opt TableOptions }

func (h *tableHandler) serve(role auth.Role, answer func(call) (any, error)) http.HandlerFunc {
	return serve(h.opt.Verifier, h.opt.Log, "table", role, answer)
}

func (h *tableHandler) show(c call) (any, error) { return h.opt.Store.Current(c.ctx) }

func (h *tableHandler) draft(c call) (any, error) { return h.view(c)(h.opt.Store.Draft(c.ctx)) }

func (h *tableHandler) diff(c call) (any, error) {
	reply, err := h.view(c)(h.opt.Store.Draft(c.ctx))
	if err == nil {
		reply.Document = nil
	}
	return reply, err
}

// view turns the result of a store method into a reply to the caller.
func (h *tableHandler) view(c call) func(*table.Draft, error) (*DraftReply, error) {
	return func(draft *table.Draft, err error) (*DraftReply, error) {
		if err != nil {
			return nil, err
		}
		size := h.opt.Store.Size()
		reply := &DraftReply{
			Base: draft.Base, Draft: draft.Version, Operator: c.operator, Document: draft.Document,
			Changes: draft.Effective(), Problems: draft.Problems(size), Conflicts: draft.Conflicts,
		}
		if draft.Document != nil {
			reply.Preview = table.PreviewOf(draft.Current, draft.Document, size, h.opt.Moves)
		}
		return reply, nil
	}
}

func (h *tableHandler) setCells(c call) (any, error) {
	var edits []table.Edit
	if err := c.decode(&edits); err != nil {
		return nil, err
	}
	return h.view(c)(h.opt.Store.SetCells(c.ctx, c.operation(), c.operator, edits))
}

func (h *tableHandler) discard(c call) (any, error) {
	draft, err := c.number("draft", 0)
	if err != nil {
		return nil, err
	}
	base, err := c.number("base", 0)
	if err != nil {
		return nil, err
	}
	if err := h.opt.Store.Discard(c.ctx, table.DraftRef{Draft: draft, Base: base}); err != nil {
		return nil, err
	}
	return struct{}{}, nil
}

func (h *tableHandler) accept(c call) (any, error) {
	var body AcceptBody
	if err := c.decode(&body); err != nil {
		return nil, err
	}
	done, err := h.opt.Store.Accept(c.ctx, table.AcceptRequest{
		Operation: body.Operation, Operator: c.operator, Reason: body.Reason, Draft: body.Draft,
	})
	if err != nil {
		return nil, err
	}
	return h.push(c.ctx, done), nil
}

// push hands the document to the hook and reports how far it came. A repeated accept pushes the
// version in force, which is the accepted one or a later one.
func (h *tableHandler) push(ctx context.Context, done table.Accepted) *AcceptReply {
	reply := &AcceptReply{Version: done.Version, Repeated: done.Repeated}
	doc, err := done.Document, error(nil)
	if doc == nil {
		doc, err = h.opt.Store.Current(ctx)
	}
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, pushTimeout)
		defer cancel()
		reply.Installed, reply.Members, err = h.opt.OnAccepted(ctx, doc)
	}
	reply.Accepted = reply.Installed*2 > reply.Members
	if reply.Accepted {
		reply.Message = fmt.Sprintf("accepted as version %d", reply.Version)
		return reply
	}
	reply.Message = fmt.Sprintf("written as version %d, installed by %d of %d entries", reply.Version, reply.Installed, reply.Members)
	if err != nil {
		reply.Message += ": " + err.Error()
	}
	return reply
}

func (h *tableHandler) history(c call) (any, error) {
	before, err := c.number("before", 0)
	if err != nil {
		return nil, err
	}
	limit, err := c.number("limit", defaultHistory)
	if err != nil {
		return nil, err
	}
	records, err := h.opt.Store.History(c.ctx, before, int(min(limit, table.MaxHistory)))
	if records == nil {
		records = []table.Record{}
	}
	return records, err
}

func (h *tableHandler) rollout(c call) (any, error) {
	entries, err := h.opt.Rollout(c.ctx)
	if err != nil {
		return nil, err
	}
	reply := &RolloutReply{Entries: entries}
	for _, e := range entries {
		reply.Accepted = max(reply.Accepted, e.Version)
	}
	current, err := h.opt.Store.Current(c.ctx)
	if err != nil {
		reply.TableError = err.Error()
		return reply, nil
	}
	reply.Accepted = current.Version
	return reply, nil
}

func (h *tableHandler) exportCSV(c call) (any, error) {
	draft, err := h.opt.Store.Draft(c.ctx)
	if err != nil {
		return nil, err
	}
	doc, origin := draft.Current, table.Origin{Version: draft.Current.Version}
	if c.request.URL.Query().Get("draft") == "true" {
		if draft.Document == nil {
			return nil, &table.ConflictError{Conflicts: draft.Conflicts}
		}
		doc, origin.Draft = draft.Document, draft.Version
	}
	var out bytes.Buffer
	err = table.WriteCSV(&out, doc, origin)
	return rawReply{"text/csv; charset=utf-8", out.Bytes()}, err
}

func (h *tableHandler) importCSV(c call) (any, error) {
	doc, origin, err := table.ReadCSV(bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	return h.view(c)(h.opt.Store.Import(c.ctx, c.operation(), c.operator, doc, origin))
}
