// Package tree reads settings from YAML files and merges them. It keeps the file,
// line and column of each value.
//
// An overlay is merged onto a base by these rules: mappings are merged key by key;
// lists in which every item has a name are merged item by item, by name; an item
// with drop: true removes the base's item; null removes the base's value; any
// other value replaces it.
//
// Decode fills a struct from a tree by the struct's yaml tags. An unknown key or a
// value of the wrong form is an error that names file, line, column and path. Parse
// already rejects a repeated key, with an error of the same form.
package tree

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Tree is a YAML document, or the merge of several. It is immutable.
type Tree struct {
	root  *yaml.Node
	files map[*yaml.Node]string
}

// Parse reads one YAML document; an empty one is an empty mapping. The file's name
// is used only in positions.
func Parse(file string, data []byte) (*Tree, error) {
	t := &Tree{files: map[*yaml.Node]string{}}
	d := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	switch err := d.Decode(&doc); {
	case errors.Is(err, io.EOF):
		t.root = &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map", Line: 1, Column: 1}
	case err != nil:
		return nil, fmt.Errorf("%s: %s", file, strings.TrimPrefix(err.Error(), "yaml: "))
	default:
		t.root = doc.Content[0]
	}
	var more yaml.Node
	if err := d.Decode(&more); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%s: more than one document", file)
	}
	t.recordFile(t.root, file)
	if err := t.check(t.root, ""); err != nil {
		return nil, err
	}
	return t, nil
}

// Read reads a document from a file.
func Read(file string) (*Tree, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, data)
}

// Assignment returns the tree of one value in the form KEY=VALUE. Dots in the key separate the
// keys of nested mappings. The origin is used only in positions. An empty value gives an empty
// tree, so that merging it changes nothing.
func Assignment(origin, text string) (*Tree, error) {
	key, value, ok := strings.Cut(text, "=")
	if !ok || key == "" {
		return nil, fmt.Errorf("%s: %q is not of the form KEY=VALUE", origin, text)
	}
	if value == "" {
		return Parse(origin, nil)
	}
	keys := strings.Split(key, ".")
	return Parse(origin, []byte("{"+strings.Join(keys, ": {")+": "+value+strings.Repeat("}", len(keys))))
}

// recordFile records the file of a node and all nodes below it.
func (t *Tree) recordFile(n *yaml.Node, file string) {
	t.files[n] = file
	for _, c := range n.Content {
		t.recordFile(c, file)
	}
}

// check rejects YAML features that Merge does not support: anchors, aliases, merge
// keys, keys that are not scalars and repeated keys.
func (t *Tree) check(n *yaml.Node, path string) error {
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		return t.errorf(n, path, "anchors and aliases are not supported")
	}
	if n.Kind != yaml.MappingNode {
		for i, c := range n.Content {
			if err := t.check(c, itemPath(n, i, path)); err != nil {
				return err
			}
		}
		return nil
	}
	seen := map[string]bool{}
	for i := 0; i < len(n.Content); i += 2 {
		k := n.Content[i]
		p := joinPath(path, k.Value)
		if k.Kind != yaml.ScalarNode || k.Tag == "!!merge" {
			return t.errorf(k, path, "a key must be a plain name")
		}
		if seen[k.Value] {
			return t.errorf(k, p, "the key is given twice")
		}
		seen[k.Value] = true
		if err := t.check(n.Content[i+1], p); err != nil {
			return err
		}
	}
	return nil
}

func (t *Tree) errorf(n *yaml.Node, path, format string, args ...any) error {
	return fmt.Errorf("%s: %s: %s", t.position(n), orDefault(path, "document"), fmt.Sprintf(format, args...))
}

func (t *Tree) position(n *yaml.Node) string {
	return fmt.Sprintf("%s:%d:%d", t.files[n], n.Line, n.Column)
}

func orDefault(s, fallback string) string {
	if s == "" {
		return fallback
	}
	return s
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// itemPath returns the path of a list's item: by name if it has one, else by index.
func itemPath(n *yaml.Node, i int, path string) string {
	if name := nameOf(n.Content[i]); name != "" {
		return path + "[" + name + "]"
	}
	return fmt.Sprintf("%s[%d]", path, i)
}

// nameOf returns the value that a mapping has for the key "name", or an empty string.
func nameOf(n *yaml.Node) string {
	if v := valueFor(n, "name"); v != nil {
		return v.Value
	}
	return ""
}

// valueFor returns the value of a mapping's key, or nil.
func valueFor(n *yaml.Node, key string) *yaml.Node {
	if n.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i < len(n.Content); i += 2 {
		if n.Content[i].Value == key {
			return n.Content[i+1]
		}
	}
	return nil
}

// Merge returns the merge of the overlay onto t. It changes neither of them.
func (t *Tree) Merge(overlay *Tree) *Tree {
	m := &Tree{files: map[*yaml.Node]string{}}
	for n, f := range t.files {
		m.files[n] = f
	}
	for n, f := range overlay.files {
		m.files[n] = f
	}
	m.root = m.merge(t.root, overlay.root)
	return m
}

func (t *Tree) merge(a, b *yaml.Node) *yaml.Node {
	switch {
	case a.Kind == yaml.MappingNode && b.Kind == yaml.MappingNode:
		return t.mergeMaps(a, b)
	case allItemsNamed(a) && allItemsNamed(b):
		return t.mergeLists(a, b)
	}
	return b
}

func isNull(n *yaml.Node) bool { return n.Kind == yaml.ScalarNode && n.Tag == "!!null" }

// copyWithoutContent returns a copy of a node without its children.
func (t *Tree) copyWithoutContent(n *yaml.Node) *yaml.Node {
	c := *n
	c.Content = nil
	t.files[&c] = t.files[n]
	return &c
}

func (t *Tree) mergeMaps(a, b *yaml.Node) *yaml.Node {
	out := t.copyWithoutContent(a)
	for i := 0; i < len(a.Content); i += 2 {
		k, v := a.Content[i], a.Content[i+1]
		if o := valueFor(b, k.Value); o != nil {
			if isNull(o) {
				continue
			}
			v = t.merge(v, o)
		}
		out.Content = append(out.Content, k, v)
	}
	for i := 0; i < len(b.Content); i += 2 {
		k, v := b.Content[i], b.Content[i+1]
		if valueFor(a, k.Value) == nil && !isNull(v) {
			out.Content = append(out.Content, k, v)
		}
	}
	return out
}

// allItemsNamed reports whether n is a list that is not empty and whose items all
// have a name.
func allItemsNamed(n *yaml.Node) bool {
	if n.Kind != yaml.SequenceNode {
		return false
	}
	for _, c := range n.Content {
		if nameOf(c) == "" {
			return false
		}
	}
	return len(n.Content) > 0
}

func (t *Tree) mergeLists(a, b *yaml.Node) *yaml.Node {
	out := t.copyWithoutContent(a)
	for _, x := range a.Content {
		if y := itemByName(b, nameOf(x)); y != nil {
			if drop := valueFor(y, "drop"); drop != nil && drop.Value == "true" {
				continue
			}
			x = t.merge(x, y)
		}
		out.Content = append(out.Content, x)
	}
	for _, y := range b.Content {
		if itemByName(a, nameOf(y)) == nil {
			out.Content = append(out.Content, y)
		}
	}
	return out
}

func itemByName(list *yaml.Node, name string) *yaml.Node {
	for _, c := range list.Content {
		if nameOf(c) == name {
			return c
		}
	}
	return nil
}

// Leaf is one scalar value of a tree with its origin.
type Leaf struct {
	Path, Value string
	// Origin is the position of the value: file, line and column.
	Origin string
}

// Leaves returns all scalar values in the order of the tree.
func (t *Tree) Leaves() []Leaf {
	var out []Leaf
	t.leaves(t.root, "", &out)
	return out
}

func (t *Tree) leaves(n *yaml.Node, path string, out *[]Leaf) {
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i < len(n.Content); i += 2 {
			t.leaves(n.Content[i+1], joinPath(path, n.Content[i].Value), out)
		}
	case yaml.SequenceNode:
		for i, c := range n.Content {
			t.leaves(c, itemPath(n, i, path), out)
		}
	default:
		*out = append(*out, Leaf{Path: path, Value: n.Value, Origin: t.position(n)})
	}
}

// Text returns the tree as YAML.
func (t *Tree) Text() (string, error) {
	var b bytes.Buffer
	e := yaml.NewEncoder(&b)
	e.SetIndent(2)
	if err := e.Encode(t.root); err != nil {
		return "", err
	}
	return b.String(), nil
}
