// Package object is an in-memory stand-in for the platform's object store.
package object

import (
	"bytes"
	"context"
	"sync"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/stand/flaw"
)

// Store is an in-memory object store. The zero value is empty and ready for use.
type Store struct {
	flaw.Switch

	mu   sync.Mutex
	data map[string][]byte
}

// Adapter returns the store as a plat.Store.
func (s *Store) Adapter() plat.Store {
	return plat.Store{Put: s.Put, Get: s.Get, Delete: s.Delete}
}

// Put writes an object.
func (s *Store) Put(ctx context.Context, name string, data []byte) error {
	if err := s.Before(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	if s.data == nil {
		s.data = map[string][]byte{}
	}
	s.data[name] = bytes.Clone(data)
	s.mu.Unlock()
	return s.After()
}

// Get reads an object. It returns plat.ErrNotFound if there is none.
func (s *Store) Get(ctx context.Context, name string) ([]byte, error) {
	if err := s.Before(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok := s.data[name]
	if !ok {
		return nil, plat.ErrNotFound
	}
	return d, nil
}

// Delete deletes an object, if it exists.
func (s *Store) Delete(ctx context.Context, name string) error {
	if err := s.Before(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	delete(s.data, name)
	s.mu.Unlock()
	return s.After()
}
