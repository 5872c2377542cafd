package tree

import "errors"

// Check collects validation errors of the values of one tree. Tree must be set: it
// gives the positions of the values.
type Check struct {
	Tree *Tree
	errs []error
}

// Want records an error at a path, unless ok is true.
func (c *Check) Want(ok bool, path, format string, args ...any) {
	if !ok {
		c.errs = append(c.errs, c.Tree.Errorf(path, format, args...))
	}
}

// Err returns all recorded errors joined, or nil.
func (c *Check) Err() error { return errors.Join(c.errs...) }
