// Package serve provides the servers and clients through which processes use the
// stand-in platform over net/rpc.
package serve

import (
	"context"
	"time"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/rpcs"
)

// Names of the net/rpc services.
const (
	TableName  = "Table"
	StoreName  = "Store"
	WorkerName = "Worker"
)

// callTimeout limits the duration of a call on the server.
const callTimeout = 30 * time.Second

// withCallTimeout returns the context of a call on the server.
func withCallTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}

// Empty is a message without content.
type Empty struct{}

// Table is the net/rpc service of a table.
type Table struct{ Inner plat.Table }

// Read returns one row.
func (t *Table) Read(key string, out *plat.Row) error {
	ctx, cancel := withCallTimeout()
	defer cancel()
	r, err := t.Inner.Read(ctx, key)
	*out = r
	return err
}

// Scan returns the rows whose keys start with prefix.
func (t *Table) Scan(prefix string, out *[]plat.Row) error {
	ctx, cancel := withCallTimeout()
	defer cancel()
	r, err := t.Inner.Scan(ctx, prefix)
	*out = r
	return err
}

// Commit applies a transaction.
func (t *Table) Commit(txn plat.Txn, _ *Empty) error {
	ctx, cancel := withCallTimeout()
	defer cancel()
	return t.Inner.Commit(ctx, txn)
}

// Store is the net/rpc service of an object store.
type Store struct{ Inner plat.Store }

// Object is a named object.
type Object struct {
	Name string
	Data []byte
}

// Put writes an object.
func (s *Store) Put(o Object, _ *Empty) error {
	ctx, cancel := withCallTimeout()
	defer cancel()
	return s.Inner.Put(ctx, o.Name, o.Data)
}

// Get reads an object.
func (s *Store) Get(name string, out *[]byte) error {
	ctx, cancel := withCallTimeout()
	defer cancel()
	d, err := s.Inner.Get(ctx, name)
	*out = d
	return err
}

// Delete deletes an object.
func (s *Store) Delete(name string, _ *Empty) error {
	ctx, cancel := withCallTimeout()
	defer cancel()
	return s.Inner.Delete(ctx, name)
}

// Worker is the net/rpc service of the runtimes of several workers.
type Worker struct {
	// Find returns the runtime of a worker by name.
	Find func(name string) (plat.Worker, bool)
}

// Apply is the argument of Worker.Apply: orders and the name of the worker.
type Apply struct {
	Worker string
	Orders plat.Orders
}

// Poll returns a worker's report.
func (w *Worker) Poll(name string, out *plat.Report) error {
	r, ok := w.Find(name)
	if !ok {
		return plat.ErrNotFound
	}
	ctx, cancel := withCallTimeout()
	defer cancel()
	v, err := r.Poll(ctx)
	*out = v
	return err
}

// Apply gives orders to a worker.
func (w *Worker) Apply(a Apply, _ *Empty) error {
	r, ok := w.Find(a.Worker)
	if !ok {
		return plat.ErrNotFound
	}
	ctx, cancel := withCallTimeout()
	defer cancel()
	return r.Apply(ctx, a.Orders)
}

// call makes a call and returns its reply, or the zero value on error.
func call[T any](ctx context.Context, c *rpcs.Client, method string, args any) (T, error) {
	out := new(T)
	if err := c.Call(ctx, method, args, out); err != nil {
		var zero T
		return zero, err
	}
	return *out, nil
}

// TableOf returns a table that is accessed through a client.
func TableOf(c *rpcs.Client) plat.Table {
	return plat.Table{
		Read: func(ctx context.Context, key string) (plat.Row, error) {
			return call[plat.Row](ctx, c, TableName+".Read", key)
		},
		Scan: func(ctx context.Context, prefix string) ([]plat.Row, error) {
			return call[[]plat.Row](ctx, c, TableName+".Scan", prefix)
		},
		Commit: func(ctx context.Context, txn plat.Txn) error {
			_, err := call[Empty](ctx, c, TableName+".Commit", txn)
			return err
		},
	}
}

// StoreOf returns an object store that is accessed through a client.
func StoreOf(c *rpcs.Client) plat.Store {
	return plat.Store{
		Put: func(ctx context.Context, name string, data []byte) error {
			_, err := call[Empty](ctx, c, StoreName+".Put", Object{name, data})
			return err
		},
		Get: func(ctx context.Context, name string) ([]byte, error) {
			return call[[]byte](ctx, c, StoreName+".Get", name)
		},
		Delete: func(ctx context.Context, name string) error {
			_, err := call[Empty](ctx, c, StoreName+".Delete", name)
			return err
		},
	}
}

// WorkerOf returns a worker's runtime that is accessed through a client.
func WorkerOf(c *rpcs.Client, name string) plat.Worker {
	return plat.Worker{
		Poll: func(ctx context.Context) (plat.Report, error) {
			return call[plat.Report](ctx, c, WorkerName+".Poll", name)
		},
		Apply: func(ctx context.Context, o plat.Orders) error {
			_, err := call[Empty](ctx, c, WorkerName+".Apply", Apply{name, o})
			return err
		},
	}
}
