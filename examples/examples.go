// Package examples embeds the example settings: a base file, and an overlay for
// each of two sites.
package examples

import (
	"embed"

	"lagoonrack/internal/conf"
)

//go:embed *.yaml
var files embed.FS

// Source returns the example settings, as passed to package conf.
func Source() conf.Source {
	return conf.Source{
		Base:     file("base.yaml"),
		Overlays: []conf.File{file("rhein-mitte.yaml"), file("dakar.yaml")},
	}
}

// file returns an embedded file of settings and panics if it does not exist.
func file(name string) conf.File {
	data, err := files.ReadFile(name)
	if err != nil {
		panic(err)
	}
	return conf.File{Name: "examples/" + name, Text: string(data)}
}
