package memtable

import (
	"bytes"
	"context"
	"sync"

	"samphirepoint/services"
)

// Objects is an in-memory services.Objects. The zero value is an empty store. It is safe for concurrent use.
type Objects struct{ data sync.Map }

// Put implements services.Objects.
func (o *Objects) Put(_ context.Context, key string, data []byte) error {
	o.data.Store(key, bytes.Clone(data))
	return nil
}

// Get implements services.Objects.
func (o *Objects) Get(_ context.Context, key string) ([]byte, error) {
	data, ok := o.data.Load(key)
	if !ok {
		return nil, services.ErrNotFound
	}
	return bytes.Clone(data.([]byte)), nil
}
