package tree

import "errors"

// Check collects the errors of the values of one tree. The zero value names no
// positions; set Tree.
type Check struct {
	Tree *Tree
	errs []error
}

// Want notes an error at a path, unless ok is true.
func (c *Check) Want(ok bool, path, format string, args ...any) {
	if !ok {
		c.errs = append(c.errs, c.Tree.Errorf(path, format, args...))
	}
}

// Err returns all errors that were noted, or nil.
func (c *Check) Err() error { return errors.Join(c.errs...) }
