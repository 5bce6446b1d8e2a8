// Package services describes the services that the platform offers to samphirepoint: a
// transactional table, an object store and an eventually consistent list of instances. The interfaces are
// small, so that another platform needs only another adapter; Client implements them with the HTTP protocol of
// the stand-in platform.
package services

import (
	"context"
	"errors"
)

// AnyVersion as Write.IfVersion matches every state of the row.
const AnyVersion int64 = -1

// ErrConflict reports that a condition of a transaction did not hold and nothing was written.
var ErrConflict = errors.New("table: a condition of the transaction does not hold")

// ErrNotFound reports that an object does not exist in the store.
var ErrNotFound = errors.New("object not found")

// Row is a row of the table. Version 0 means that the row is absent; the first write
// creates version 1 and each later write adds 1. A row that is deleted and created
// again continues from a higher version, so an old condition never matches.
type Row struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Write is one element of a transaction. IfVersion 0 requires the row to be absent.
type Write struct {
	Key       string `json:"key"`
	IfVersion int64  `json:"ifVersion"`
	Value     []byte `json:"value,omitempty"`
	Delete    bool   `json:"delete,omitempty"`
	// Check makes the element a condition only; the row is not written.
	Check bool `json:"check,omitempty"`
}

// Table is the platform's transactional table. An error other than ErrConflict leaves the outcome
// of a Commit unknown, unless verdict.Of(err) is verdict.NotRun.
type Table interface {
	// Get reads a row; an absent row has Version 0 and no error.
	Get(ctx context.Context, key string) (Row, error)
	// List reads up to limit rows whose key starts with prefix, in key order, after key "after".
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes or none and returns the new version of each row.
	Commit(ctx context.Context, writes []Write) ([]int64, error)
}

// Objects is the platform's object store.
type Objects interface {
	Put(ctx context.Context, key string, data []byte) error
	// Get returns ErrNotFound for an absent object.
	Get(ctx context.Context, key string) ([]byte, error)
}

// Kind distinguishes workers from entries in the instance list.
type Kind string

// Kinds of instances.
const (
	KindWorker Kind = "worker"
	KindEntry  Kind = "entry"
)

// State is the platform's view of an instance.
type State string

// States of instances in the list.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is an element of the platform's list, which may lag behind the actual state.
type Instance struct {
	ID      string `json:"id"`
	Kind    Kind   `json:"kind"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region,omitempty"`
	Rack    string `json:"rack,omitempty"`
	State   State  `json:"state"`
	// Slots is the number of requests and tasks that a worker runs at a time.
	Slots int `json:"slots,omitempty"`
}

// Instances is the platform's eventually consistent list of live and leaving instances.
type Instances interface {
	List(ctx context.Context) ([]Instance, error)
}
