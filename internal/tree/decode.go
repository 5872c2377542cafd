package tree

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Decode fills v, a pointer to a struct, by its yaml tags and returns every error
// that it finds.
func (t *Tree) Decode(v any) error {
	d := decoder{tree: t}
	d.value(t.root, "", reflect.ValueOf(v).Elem())
	return errors.Join(d.errs...)
}

// decoder fills a value from a tree and collects the errors.
type decoder struct {
	tree *Tree
	errs []error
}

var unmarshaler = reflect.TypeFor[yaml.Unmarshaler]()

func (d *decoder) errorf(n *yaml.Node, path, format string, args ...any) {
	d.errs = append(d.errs, d.tree.errorf(n, path, format, args...))
}

func (d *decoder) value(n *yaml.Node, path string, v reflect.Value) {
	switch {
	case v.Addr().Type().Implements(unmarshaler):
		d.leaf(n, path, v)
	case v.Kind() == reflect.Struct:
		d.object(n, path, v)
	case v.Kind() == reflect.Slice:
		d.list(n, path, v)
	default:
		d.leaf(n, path, v)
	}
}

func (d *decoder) leaf(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind != yaml.ScalarNode {
		d.errorf(n, path, "a single value is expected")
		return
	}
	if isNull(n) {
		d.errorf(n, path, "the value is null, but there is no base value to remove")
		return
	}
	err := n.Decode(v.Addr().Interface())
	var typeErr *yaml.TypeError
	switch {
	case errors.As(err, &typeErr):
		d.errorf(n, path, "%q is not %s", n.Value, describeType(v.Type()))
	case err != nil:
		d.errorf(n, path, "%v", err)
	}
}

// describeType names the expected form of a value in an error message.
func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	}
	return "a text"
}

func (d *decoder) object(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind != yaml.MappingNode {
		d.errorf(n, path, "a mapping is expected")
		return
	}
	fields := fieldsOf(v.Type())
	for i := 0; i < len(n.Content); i += 2 {
		k := n.Content[i]
		p := joinPath(path, k.Value)
		f, ok := fields[k.Value]
		if !ok {
			d.errorf(k, p, "unknown key; known keys are %s", keysOf(v.Type()))
			continue
		}
		d.value(n.Content[i+1], p, v.Field(f))
	}
}

func (d *decoder) list(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind != yaml.SequenceNode {
		d.errorf(n, path, "a list is expected")
		return
	}
	out := reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content))
	for i, c := range n.Content {
		d.value(c, itemPath(n, i, path), out.Index(i))
	}
	v.Set(out)
}

// fieldsOf returns the index of each field by its key.
func fieldsOf(t reflect.Type) map[string]int {
	m := map[string]int{}
	for i := range t.NumField() {
		if name := Key(t.Field(i)); name != "" {
			m[name] = i
		}
	}
	return m
}

// Key returns the key of a struct's field in settings files, or an empty string if
// it has none.
func Key(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

// keysOf lists the keys of a struct type for error messages.
func keysOf(t reflect.Type) string {
	var names []string
	for i := range t.NumField() {
		if name := Key(t.Field(i)); name != "" {
			names = append(names, name)
		}
	}
	return strings.Join(names, ", ")
}

// Errorf returns an error with the position of the value at a path, or of its
// nearest ancestor that exists.
func (t *Tree) Errorf(path, format string, args ...any) error {
	best, depth := t.root, -1
	t.findNearest(t.root, "", path, &best, &depth)
	return fmt.Errorf("%s: %s: %s", t.position(best), path, fmt.Sprintf(format, args...))
}

// findNearest sets best to the deepest node below n whose path, at, is a prefix of
// the given path, and depth to the length of its path.
func (t *Tree) findNearest(n *yaml.Node, at, path string, best **yaml.Node, depth *int) {
	if !strings.HasPrefix(path, at) {
		return
	}
	if len(at) > *depth {
		*best, *depth = n, len(at)
	}
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i < len(n.Content); i += 2 {
			t.findNearest(n.Content[i+1], joinPath(at, n.Content[i].Value), path, best, depth)
		}
	case yaml.SequenceNode:
		for i, c := range n.Content {
			t.findNearest(c, itemPath(n, i, at), path, best, depth)
		}
	}
}
