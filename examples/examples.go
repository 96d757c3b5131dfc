// Package examples holds the records of two deployments as operators write
// them, some in schema version 1 and some in version 2.
//
// The key of each organisation is its name with "-example-key" at the end; the
// records hold only its SHA-256 hash. The addresses are those of a private network.
//
// # Usage
//
//	records, err := examples.Records()
//
// or, with the platform of a demo:
//
//	magnoliafront apply --platform URL -f examples/drift-line
package examples

import (
	"embed"
	"io/fs"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/pkg/descriptor"
)

//go:embed drift-line/*.json rempah-bersama/*.json
var files embed.FS

// Records returns the records of both deployments. No record name occurs in both.
func Records() ([]descriptor.Record, error) {
	var records []descriptor.Record
	err := fs.WalkDir(files, ".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		data, err := files.ReadFile(path)
		if err != nil {
			return err
		}
		r, err := descriptor.DecodeFile(data)
		if err != nil {
			return errors.Wrap(err, path)
		}
		records = append(records, r...)
		return nil
	})
	return records, err
}
