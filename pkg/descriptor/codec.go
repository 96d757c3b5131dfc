package descriptor

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

type header struct {
	SchemaVersion int    `json:"schema_version"`
	Kind          Kind   `json:"kind"`
	Name          string `json:"name"`
}

type classV1 struct {
	header
	// Priority is in the reverse order of the tier: 8 is the most urgent.
	Priority   int    `json:"priority"`
	Target     string `json:"target,omitempty"`
	Repeatable bool   `json:"repeatable"`
}

type classV2 struct {
	header
	Tier             int    `json:"tier"`
	FirstTokenTarget string `json:"first_token_target,omitempty"`
	TokenGapTarget   string `json:"token_gap_target,omitempty"`
	AnswerTarget     string `json:"answer_target,omitempty"`
	Repeatable       bool   `json:"repeatable"`
}

type organisationV1 struct {
	header
	KeyHashes    []string `json:"key_hashes,omitempty"`
	DefaultClass string   `json:"default_class"`
	Classes      []string `json:"classes,omitzero"`
	Limit        float64  `json:"limit,omitempty"`
}

type organisationV2 struct {
	header
	KeyHashes    []string `json:"key_hashes,omitempty"`
	DefaultClass string   `json:"default_class"`
	Classes      []string `json:"classes,omitzero"`
	RequestRate  float64  `json:"request_rate,omitempty"`
	Concurrency  int      `json:"concurrency,omitempty"`
}

// upstreamBase holds the fields that are common to both versions.
type upstreamBase struct {
	header
	Service          string       `json:"service"`
	Type             UpstreamType `json:"type"`
	Address          string       `json:"address"`
	AvailabilityZone string       `json:"availability_zone"`
	Models           []string     `json:"models,omitempty"`
	Adapters         []string     `json:"adapters,omitempty"`
	ChecksFencing    bool         `json:"checks_fencing,omitempty"`
	Repeatable       bool         `json:"repeatable,omitempty"`
}

type upstreamV1 struct {
	upstreamBase
	Capacity int `json:"capacity"`
}

type upstreamV2 struct {
	upstreamBase
	Slots    int `json:"slots"`
	KVTokens int `json:"kv_tokens,omitempty"`
}

// Decode decodes one record of any known schema version. Its errors have the
// type [*Error].
func Decode(data []byte) (Record, error) {
	return decode("", data)
}

// DecodeFile decodes the content of a file, which is one record or an array of
// records. For an array, the path of an error starts with the index of the
// record, such as [3].target.
func DecodeFile(data []byte) ([]Record, error) {
	text := bytes.TrimLeft(data, " \t\r\n")
	if len(text) == 0 || text[0] != '[' {
		r, err := Decode(data)
		if err != nil {
			return nil, err
		}
		return []Record{r}, nil
	}
	var raw []json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, &Error{Op: "decode", Kind: ErrorSyntax, Err: err}
	}
	records := make([]Record, 0, len(raw))
	for i, element := range raw {
		r, err := decode("["+strconv.Itoa(i)+"]", element)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

// Encode encodes r in the latest schema version.
func Encode(r Record) ([]byte, error) { return EncodeVersion(r, SchemaVersion) }

// EncodeVersion encodes r in the given schema version. Version 1 has no
// kv_tokens and no concurrency; [PreserveNewerFields] keeps them when a client
// of that version updates the record. EncodeVersion fails with [ErrorVersion]
// for an unknown version and for a class whose targets version 1 cannot express.
func EncodeVersion(r Record, version int) ([]byte, error) {
	if version < 1 || version > SchemaVersion {
		return nil, &Error{Op: "encode", Kind: ErrorVersion, Path: "schema_version", Err: errors.Errorf("version %d is not known", version)}
	}
	h := header{SchemaVersion: version, Kind: r.Kind, Name: r.Name}
	switch {
	case r.Class != nil:
		return encodeClass(h, r.Class)
	case r.Organisation != nil:
		return encodeOrganisation(h, r.Organisation)
	case r.Upstream != nil:
		return encodeUpstream(h, r.Upstream)
	}
	return nil, &Error{Op: "encode", Kind: ErrorField, Path: "kind", Err: errors.New("the record has no content")}
}

// PreserveNewerFields returns next with the fields that its schema version
// cannot express copied from previous, the record that it replaces. An update by
// a client of version 1 thereby preserves the fields set by a client of version
// 2.
func PreserveNewerFields(previous, next Record) Record {
	if next.SchemaVersion != 1 || previous.Key() != next.Key() {
		return next
	}
	switch {
	case next.Organisation != nil && previous.Organisation != nil:
		o := *next.Organisation
		o.Concurrency = previous.Organisation.Concurrency
		next.Organisation = &o
	case next.Upstream != nil && previous.Upstream != nil:
		u := *next.Upstream
		u.KVTokens = previous.Upstream.KVTokens
		next.Upstream = &u
	}
	return next
}

func encodeClass(h header, c *Class) ([]byte, error) {
	if h.SchemaVersion == 2 {
		return json.Marshal(classV2{
			header: h, Tier: c.Tier, Repeatable: c.Repeatable,
			FirstTokenTarget: formatDuration(c.FirstTokenTarget),
			TokenGapTarget:   formatDuration(c.TokenGapTarget),
			AnswerTarget:     formatDuration(c.AnswerTarget),
		})
	}
	streamed := c.FirstTokenTarget > 0 || c.TokenGapTarget > 0
	v1 := classV1{header: h, Priority: Tiers + 1 - c.Tier, Repeatable: c.Repeatable}
	switch {
	case streamed && c.AnswerTarget > 0:
		return nil, &Error{Op: "encode", Kind: ErrorVersion, Path: "target", Err: errors.New("schema version 1 cannot hold an answer target beside token targets")}
	case streamed:
		v1.Target = c.FirstTokenTarget.String() + "/" + c.TokenGapTarget.String()
	default:
		v1.Target = formatDuration(c.AnswerTarget)
	}
	return json.Marshal(v1)
}

func encodeOrganisation(h header, o *Organisation) ([]byte, error) {
	if h.SchemaVersion == 1 {
		return json.Marshal(organisationV1{
			header: h, KeyHashes: o.KeyHashes, DefaultClass: o.DefaultClass,
			Classes: o.Classes, Limit: o.RequestRate,
		})
	}
	return json.Marshal(organisationV2{
		header: h, KeyHashes: o.KeyHashes, DefaultClass: o.DefaultClass,
		Classes: o.Classes, RequestRate: o.RequestRate, Concurrency: o.Concurrency,
	})
}

func encodeUpstream(h header, u *Upstream) ([]byte, error) {
	base := upstreamBase{
		header: h, Service: u.Service, Type: u.Type, Address: u.Address,
		AvailabilityZone: u.AvailabilityZone, Models: u.Models, Adapters: u.Adapters,
		ChecksFencing: u.ChecksFencing, Repeatable: u.Repeatable,
	}
	if h.SchemaVersion == 1 {
		return json.Marshal(upstreamV1{upstreamBase: base, Capacity: u.Slots})
	}
	return json.Marshal(upstreamV2{upstreamBase: base, Slots: u.Slots, KVTokens: u.KVTokens})
}

func decode(path string, data []byte) (Record, error) {
	f, err := readFields(path, data)
	if err != nil {
		return Record{}, err
	}
	version := f.integer("schema_version", 1, 0, "the schema version 1 or 2")
	if f.err == nil && version > SchemaVersion {
		f.fail(ErrorVersion, "schema_version", "expects the schema version 1 or 2, found "+strconv.Itoa(version))
	}
	kind := Kind(f.oneOf("kind", string(KindClass), string(KindOrganisation), string(KindUpstream)))
	r := Record{SchemaVersion: version, Kind: kind, Name: f.name("name")}
	if f.err != nil {
		return Record{}, f.err
	}
	switch kind {
	case KindClass:
		r.Class = decodeClass(f, version)
	case KindOrganisation:
		r.Organisation = decodeOrganisation(f, version)
	case KindUpstream:
		r.Upstream = decodeUpstream(f, version)
	}
	f.rejectUnknown()
	if f.err != nil {
		return Record{}, f.err
	}
	return r, nil
}

func decodeClass(f *fields, version int) *Class {
	c := &Class{Repeatable: f.boolean("repeatable")}
	if version == 1 {
		c.Tier = Tiers + 1 - f.integer("priority", 1, Tiers, "an integer from 1 to 8, 8 for the most urgent")
		decodeTarget(f, c)
		return c
	}
	c.Tier = f.integer("tier", 1, Tiers, "an integer from 1 to 8, 1 for the most urgent")
	c.FirstTokenTarget = f.duration("first_token_target")
	c.TokenGapTarget = f.duration("token_gap_target")
	c.AnswerTarget = f.duration("answer_target")
	return c
}

// decodeTarget decodes the target field of version 1, which is two durations for
// a streamed answer or one duration for the whole answer.
func decodeTarget(f *fields, c *Class) {
	const expects = "durations such as 1s/33ms (first token/between tokens) or 60s (whole answer)"
	text := f.text("target", expects)
	if text == "" {
		return
	}
	first, gap, streamed := strings.Cut(text, "/")
	var ok bool
	if streamed {
		c.FirstTokenTarget, ok = parseDuration(first)
		if ok {
			c.TokenGapTarget, ok = parseDuration(gap)
		}
	} else {
		c.AnswerTarget, ok = parseDuration(text)
	}
	if !ok {
		f.fail(ErrorField, "target", "expects "+expects)
	}
}

func decodeOrganisation(f *fields, version int) *Organisation {
	o := &Organisation{
		KeyHashes:    f.hashes("key_hashes"),
		DefaultClass: f.name("default_class"),
		Classes:      f.optionalNames("classes"),
	}
	if version == 1 {
		o.RequestRate = f.rate("limit")
		return o
	}
	o.RequestRate = f.rate("request_rate")
	if f.has("concurrency") {
		o.Concurrency = f.integer("concurrency", 0, 0, "an integer that is not negative, 0 for no limit")
	}
	return o
}

func decodeUpstream(f *fields, version int) *Upstream {
	u := &Upstream{
		Service:          f.name("service"),
		Type:             UpstreamType(f.oneOf("type", string(TypeEngine), string(TypeService))),
		Address:          f.address("address"),
		AvailabilityZone: f.name("availability_zone"),
		Models:           f.names("models"),
		Adapters:         f.names("adapters"),
		ChecksFencing:    f.boolean("checks_fencing"),
		Repeatable:       f.boolean("repeatable"),
	}
	if version == 1 {
		u.Slots = f.integer("capacity", 1, 0, "a positive integer")
		return u
	}
	u.Slots = f.integer("slots", 1, 0, "a positive integer")
	if f.has("kv_tokens") {
		u.KVTokens = f.integer("kv_tokens", 0, 0, "an integer that is not negative")
	}
	return u
}

func parseDuration(text string) (time.Duration, bool) {
	d, err := time.ParseDuration(text)
	return d, err == nil && d >= 0
}

func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}
