package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/writer"
	"magnoliafront.dev/magnoliafront/internal/version/cataloger"
	"magnoliafront.dev/magnoliafront/pkg/descriptor"
)

type getCommand struct {
	ctx context.Context
	out io.Writer
	platformFlag
	JSON          bool `long:"json" description:"Print JSON instead of a table"`
	SchemaVersion int  `long:"schema-version" choice:"1" choice:"2" description:"Schema version of the records; the default is the one in which each was written"`
	Args          struct {
		Kind string `positional-arg-name:"KIND"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
}

// recordList is the JSON output of the command get.
type recordList struct {
	Revision   int64          `json:"revision"`
	AcceptedAt time.Time      `json:"accepted_at"`
	Records    []listedRecord `json:"records"`
}

// listedRecord is one record with its status in each availability zone.
type listedRecord struct {
	// Record is null, and Error says why, if the record cannot be expressed in the
	// requested schema version.
	Record json.RawMessage `json:"record"`
	Error  string          `json:"error,omitempty"`
	// Revision is the one in which the record was last changed.
	Revision int64        `json:"revision"`
	Status   []zoneStatus `json:"status"`

	// key and schemaVersion are printed in the table only.
	key           descriptor.Key
	schemaVersion int
}

// zoneStatus reports whether a record is in force in one availability zone: since
// when, or why not.
type zoneStatus struct {
	AvailabilityZone string     `json:"availability_zone"`
	InForce          bool       `json:"in_force"`
	Since            *time.Time `json:"since,omitempty"`
	Reason           string     `json:"reason,omitempty"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(c.ctx, commandTimeout)
	defer cancel()
	store := c.store()
	head, catalog, err := writer.Read(ctx, store)
	if err != nil {
		return err
	}
	statuses, err := readStatuses(ctx, store)
	if err != nil {
		return err
	}
	l := recordList{Revision: head.Revision, AcceptedAt: head.AcceptedAt, Records: []listedRecord{}}
	for _, k := range cataloger.SortedKeys(catalog.Entries) {
		if c.Args.Kind != "" && c.Args.Kind != string(k.Kind) || c.Args.Name != "" && c.Args.Name != k.Name {
			continue
		}
		l.Records = append(l.Records, c.listRecord(k, catalog.Entries[k], statuses))
	}
	if c.Args.Name != "" && len(l.Records) == 0 {
		return &notFoundError{Key: descriptor.Key{Kind: descriptor.Kind(c.Args.Kind), Name: c.Args.Name}}
	}
	if c.JSON {
		e := json.NewEncoder(c.out)
		e.SetIndent("", "  ")
		if err := e.Encode(l); err != nil {
			return errors.Wrap(err, "write records")
		}
		return nil
	}
	return l.writeTable(c.out)
}

func (c *getCommand) listRecord(k descriptor.Key, e cataloger.Entry, statuses []cataloger.Status) listedRecord {
	schemaVersion := c.SchemaVersion
	if schemaVersion == 0 {
		schemaVersion = e.Record.SchemaVersion
	}
	r := listedRecord{Revision: e.Revision, Status: []zoneStatus{}, key: k, schemaVersion: schemaVersion}
	raw, err := descriptor.EncodeVersion(e.Record, schemaVersion)
	if err != nil {
		r.Error = err.Error()
	}
	r.Record = raw
	for _, s := range statuses {
		r.Status = append(r.Status, newZoneStatus(s, e.Revision))
	}
	return r
}

// readStatuses reads the status of each availability zone from the platform.
func readStatuses(ctx context.Context, s accessor.Store) ([]cataloger.Status, error) {
	objects, err := s.List(ctx, cataloger.StatusPrefix)
	if err != nil {
		return nil, err
	}
	var statuses []cataloger.Status
	for _, o := range objects {
		var status cataloger.Status
		if err := json.Unmarshal(o.Value, &status); err != nil {
			return nil, errors.Wrap(err, o.Key)
		}
		statuses = append(statuses, status)
	}
	return statuses, nil
}

// newZoneStatus returns the status in a zone of a record that was last changed in
// the given revision.
func newZoneStatus(s cataloger.Status, revision int64) zoneStatus {
	status := zoneStatus{AvailabilityZone: s.AvailabilityZone}
	if since, ok := s.InForceSince(revision); ok {
		status.InForce, status.Since = true, &since
		return status
	}
	var reasons []string
	for _, p := range s.Lagging {
		if p.Revision < revision {
			reasons = append(reasons, fmt.Sprintf("%s at revision %d: %s", p.Identity, p.Revision, p.Reason))
		}
	}
	status.Reason = fmt.Sprintf("%d of %d processes behind", s.LaggingCount, s.MemberCount)
	if len(reasons) > 0 {
		status.Reason += " (" + strings.Join(reasons, "; ") + ")"
	}
	return status
}

func (l recordList) writeTable(out io.Writer) error {
	if _, err := fmt.Fprintf(out, "revision %d accepted %s\n", l.Revision, l.AcceptedAt.Format(time.RFC3339)); err != nil {
		return errors.Wrap(err, "write records")
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "KIND\tNAME\tSCHEMA\tREVISION\tSTATUS")
	for _, r := range l.Records {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", r.key.Kind, r.key.Name, r.schemaVersion, r.Revision, r.statusSummary())
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "write records")
	}
	return nil
}

// statusSummary returns the time since which the record is in force in all zones,
// or the zones in which it is not.
func (r listedRecord) statusSummary() string {
	if len(r.Status) == 0 {
		return "no process has reported"
	}
	var notInForce []string
	var latest time.Time
	for _, s := range r.Status {
		if !s.InForce {
			notInForce = append(notInForce, "not in force in "+s.AvailabilityZone+": "+s.Reason)
		} else if s.Since.After(latest) {
			latest = *s.Since
		}
	}
	if len(notInForce) > 0 {
		return strings.Join(notInForce, "; ")
	}
	return "in force since " + latest.Format(time.RFC3339)
}
