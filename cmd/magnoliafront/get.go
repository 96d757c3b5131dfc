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

// listing is the JSON form of the answer.
type listing struct {
	Revision   int64     `json:"revision"`
	AcceptedAt time.Time `json:"accepted_at"`
	Records    []listed  `json:"records"`
}

type listed struct {
	// Record is null, and Error says why, if the schema version asked for cannot
	// express it.
	Record json.RawMessage `json:"record"`
	Error  string          `json:"error,omitempty"`
	// Revision changed the record last.
	Revision int64        `json:"revision"`
	Status   []zoneStatus `json:"status"`

	key     descriptor.Key
	version int
}

// zoneStatus says whether a record is in force in one availability zone.
type zoneStatus struct {
	AvailabilityZone string     `json:"availability_zone"`
	InForce          bool       `json:"in_force"`
	Since            *time.Time `json:"since,omitempty"`
	Reason           string     `json:"reason,omitempty"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	store := c.store()
	head, set, err := writer.Read(ctx, store)
	if err != nil {
		return err
	}
	zones, err := readStatus(ctx, store)
	if err != nil {
		return err
	}
	l := listing{Revision: head.Revision, AcceptedAt: head.AcceptedAt, Records: []listed{}}
	for _, k := range cataloger.SortedKeys(set.Entries) {
		if c.Args.Kind != "" && c.Args.Kind != string(k.Kind) || c.Args.Name != "" && c.Args.Name != k.Name {
			continue
		}
		l.Records = append(l.Records, c.list(k, set.Entries[k], zones))
	}
	if c.Args.Name != "" && len(l.Records) == 0 {
		return &missingError{Key: descriptor.Key{Kind: descriptor.Kind(c.Args.Kind), Name: c.Args.Name}}
	}
	if c.JSON {
		e := json.NewEncoder(c.out)
		e.SetIndent("", "  ")
		if err := e.Encode(l); err != nil {
			return errors.Wrap(err, "write records")
		}
		return nil
	}
	return l.table(c.out)
}

func (c *getCommand) list(k descriptor.Key, e cataloger.Entry, zones []cataloger.Status) listed {
	version := c.SchemaVersion
	if version == 0 {
		version = e.Record.SchemaVersion
	}
	one := listed{Revision: e.Revision, Status: []zoneStatus{}, key: k, version: version}
	raw, err := descriptor.EncodeVersion(e.Record, version)
	if err != nil {
		one.Error = err.Error()
	}
	one.Record = raw
	for _, z := range zones {
		one.Status = append(one.Status, statusOf(z, e.Revision))
	}
	return one
}

func readStatus(ctx context.Context, s accessor.Store) ([]cataloger.Status, error) {
	objects, err := s.List(ctx, cataloger.StatusPrefix)
	if err != nil {
		return nil, err
	}
	var zones []cataloger.Status
	for _, o := range objects {
		var z cataloger.Status
		if err := json.Unmarshal(o.Value, &z); err != nil {
			return nil, errors.Wrap(err, o.Key)
		}
		zones = append(zones, z)
	}
	return zones, nil
}

func statusOf(z cataloger.Status, revision int64) zoneStatus {
	s := zoneStatus{AvailabilityZone: z.AvailabilityZone}
	if since, ok := z.InForceSince(revision); ok {
		s.InForce, s.Since = true, &since
		return s
	}
	var reasons []string
	for _, b := range z.Lagging {
		if b.Revision < revision {
			reasons = append(reasons, fmt.Sprintf("%s at revision %d: %s", b.Identity, b.Revision, b.Reason))
		}
	}
	s.Reason = fmt.Sprintf("%d of %d processes behind", z.LaggingCount, z.MemberCount)
	if len(reasons) > 0 {
		s.Reason += " (" + strings.Join(reasons, "; ") + ")"
	}
	return s
}

func (l listing) table(out io.Writer) error {
	if _, err := fmt.Fprintf(out, "revision %d accepted %s\n", l.Revision, l.AcceptedAt.Format(time.RFC3339)); err != nil {
		return errors.Wrap(err, "write records")
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "KIND\tNAME\tSCHEMA\tREVISION\tSTATUS")
	for _, r := range l.Records {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", r.key.Kind, r.key.Name, r.version, r.Revision, r.summary())
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "write records")
	}
	return nil
}

func (r listed) summary() string {
	if len(r.Status) == 0 {
		return "no process has reported"
	}
	var missing []string
	var since time.Time
	for _, z := range r.Status {
		if !z.InForce {
			missing = append(missing, "not in force in "+z.AvailabilityZone+": "+z.Reason)
		} else if z.Since.After(since) {
			since = *z.Since
		}
	}
	if len(missing) > 0 {
		return strings.Join(missing, "; ")
	}
	return "in force since " + since.Format(time.RFC3339)
}
