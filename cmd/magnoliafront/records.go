package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/connection/validator"
	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/writer"
	"magnoliafront.dev/magnoliafront/internal/version/cataloger"
	"magnoliafront.dev/magnoliafront/pkg/descriptor"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// commandTimeout limits a command that changes or reads records, and each of its
// calls to the platform.
const commandTimeout = time.Minute

// platformFlag is the flag shared by the commands that access the platform.
type platformFlag struct {
	Platform string `long:"platform" required:"true" value-name:"URL" description:"URL of the platform's object API"`
}

func (p platformFlag) store() accessor.Store {
	return &accessor.Client{URL: p.Platform, HTTP: &http.Client{Timeout: commandTimeout, Transport: &validator.Transport{}}}
}

func (p platformFlag) writer() writer.Writer {
	name, err := os.Hostname()
	if err != nil {
		name = "operator"
	}
	return writer.Writer{Store: p.store(), Clock: timer.System{}, Name: name}
}

type applyCommand struct {
	ctx context.Context
	out io.Writer
	platformFlag
	Files []string `short:"f" long:"file" required:"true" value-name:"FILE|DIR" description:"File with one record or an array of records, or a directory of such *.json files; may be repeated"`
	Base  int64    `long:"base" value-name:"REVISION" description:"Revision that the files are based on; a record changed since then is a conflict"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	records, err := readRecords(c.Files)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.ctx, commandTimeout)
	defer cancel()
	result, err := c.writer().Change(ctx, writer.Change{Put: records, BaseRevision: c.Base})
	if err != nil {
		return err
	}
	return writeResult(c.out, result)
}

type withdrawCommand struct {
	ctx context.Context
	out io.Writer
	platformFlag
	Args struct {
		Kind string `positional-arg-name:"KIND"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *withdrawCommand) Execute([]string) error {
	key := descriptor.Key{Kind: descriptor.Kind(c.Args.Kind), Name: c.Args.Name}
	ctx, cancel := context.WithTimeout(c.ctx, commandTimeout)
	defer cancel()
	result, err := c.writer().Change(ctx, writer.Change{Withdraw: []descriptor.Key{key}})
	if err != nil {
		return err
	}
	if result.States[key] == writer.StateUnchanged {
		return &notFoundError{Key: key}
	}
	return writeResult(c.out, result)
}

// notFoundError reports that the requested record does not exist.
type notFoundError struct{ Key descriptor.Key }

// Error implements error.
func (e *notFoundError) Error() string { return fmt.Sprintf("no %s %q", e.Key.Kind, e.Key.Name) }

// writeResult prints the state of each record of a change and the revision.
func writeResult(out io.Writer, r writer.Result) error {
	for _, k := range cataloger.SortedKeys(r.States) {
		if _, err := fmt.Fprintf(out, "%s %s %s\n", k.Kind, k.Name, r.States[k]); err != nil {
			return errors.Wrap(err, "write report")
		}
	}
	if _, err := fmt.Fprintf(out, "revision %d\n", r.Revision); err != nil {
		return errors.Wrap(err, "write report")
	}
	return nil
}

// readRecords reads all files before any record is applied. A record that occurs
// twice is an error, since only the operator knows which one is meant.
func readRecords(paths []string) ([]descriptor.Record, error) {
	var records []descriptor.Record
	locations := map[descriptor.Key]string{}
	for _, path := range paths {
		files, err := recordFiles(path)
		if err != nil {
			return nil, err
		}
		for _, file := range files {
			data, err := os.ReadFile(file)
			if err != nil {
				return nil, errors.Wrap(err, "read records")
			}
			decoded, err := descriptor.DecodeFile(data)
			if err != nil {
				return nil, errors.Wrap(err, file)
			}
			for i, r := range decoded {
				location := fmt.Sprintf("%s [%d]", file, i)
				if previous, ok := locations[r.Key()]; ok {
					return nil, &descriptor.Error{Op: "apply", Kind: descriptor.ErrorField, Path: "name", Err: errors.Errorf("%s %q stands in %s and in %s", r.Kind, r.Name, previous, location)}
				}
				locations[r.Key()] = location
			}
			records = append(records, decoded...)
		}
	}
	return records, nil
}

// recordFiles returns path itself if it is a file, or else the *.json files of the
// directory in sorted order.
func recordFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "read records")
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	files, err := filepath.Glob(filepath.Join(path, "*.json"))
	if err != nil {
		return nil, errors.Wrap(err, "read records")
	}
	if len(files) == 0 {
		return nil, errors.Errorf("directory %s holds no *.json file", path)
	}
	slices.Sort(files)
	return files, nil
}
