// Package compiler validates and indexes the records of one revision as a
// snapshot.
//
// All goroutines of a process read the snapshot. It is built once for each
// accepted revision, validated as a whole and immutable, so that the
// goroutine that watches the records can pass it to all others without a
// lock. The next revision gets a new snapshot.
//
// # Usage
//
//	s, err := compiler.Compile(revision, records)
//	if err != nil {
//		// the whole set is rejected
//	}
//	class, ok := s.Classes["chat"]
package compiler

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/pkg/descriptor"
)

// Snapshot holds the records of one revision with their indexes. The zero
// value is the empty set before the first revision.
type Snapshot struct {
	Revision      int64
	Records       map[descriptor.Key]descriptor.Record
	Classes       map[string]descriptor.Class
	Organisations map[string]descriptor.Organisation
	Upstreams     map[string]descriptor.Upstream
	// OrganisationsByKeyHash maps the hash of an API key to the name of its
	// organisation.
	OrganisationsByKeyHash map[string]string
	// UpstreamsByModel and UpstreamsByService hold upstream names in ascending
	// order.
	UpstreamsByModel   map[string][]string
	UpstreamsByService map[string][]string
}

// Compile validates the records as a whole and indexes them. Its errors have
// the type [*Error].
func Compile(revision int64, records []descriptor.Record) (*Snapshot, error) {
	s := &Snapshot{
		Revision:               revision,
		Records:                make(map[descriptor.Key]descriptor.Record, len(records)),
		Classes:                map[string]descriptor.Class{},
		Organisations:          map[string]descriptor.Organisation{},
		Upstreams:              map[string]descriptor.Upstream{},
		OrganisationsByKeyHash: map[string]string{},
		UpstreamsByModel:       map[string][]string{},
		UpstreamsByService:     map[string][]string{},
	}
	for _, r := range records {
		if err := s.addRecord(r); err != nil {
			return nil, err
		}
	}
	if err := s.checkClassReferences(); err != nil {
		return nil, err
	}
	for _, names := range s.UpstreamsByModel {
		slices.Sort(names)
	}
	for _, names := range s.UpstreamsByService {
		slices.Sort(names)
	}
	return s, nil
}

// OrganisationOfKey returns the name of the organisation that owns the API
// key. Nobody owns an empty one, although a record may have its hash.
func (s *Snapshot) OrganisationOfKey(apiKey string) (string, bool) {
	if apiKey == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(apiKey))
	hash := hex.EncodeToString(sum[:])
	name, ok := s.OrganisationsByKeyHash[hash]
	if !ok {
		return "", false
	}
	for _, h := range s.Organisations[name].KeyHashes {
		if subtle.ConstantTimeCompare([]byte(h), []byte(hash)) == 1 {
			return name, true
		}
	}
	return "", false
}

func (s *Snapshot) addRecord(r descriptor.Record) error {
	if _, ok := s.Records[r.Key()]; ok {
		return &Error{Op: "compile", Kind: ErrorDuplicate, Record: r.Key(), Err: errors.New("the record occurs more than once in the set")}
	}
	s.Records[r.Key()] = r
	switch {
	case r.Class != nil:
		s.Classes[r.Name] = *r.Class
	case r.Organisation != nil:
		return s.addOrganisation(r)
	case r.Upstream != nil:
		s.addUpstream(r)
	}
	return nil
}

func (s *Snapshot) addOrganisation(r descriptor.Record) error {
	s.Organisations[r.Name] = *r.Organisation
	for _, h := range r.Organisation.KeyHashes {
		if other, ok := s.OrganisationsByKeyHash[h]; ok {
			return &Error{Op: "compile", Kind: ErrorDuplicate, Record: r.Key(), Err: fmt.Errorf("key hash already belongs to organisation %s", other)}
		}
		s.OrganisationsByKeyHash[h] = r.Name
	}
	return nil
}

func (s *Snapshot) addUpstream(r descriptor.Record) {
	u := *r.Upstream
	s.Upstreams[r.Name] = u
	for _, m := range u.Models {
		s.UpstreamsByModel[m] = append(s.UpstreamsByModel[m], r.Name)
	}
	if u.Type == descriptor.TypeService {
		s.UpstreamsByService[u.Service] = append(s.UpstreamsByService[u.Service], r.Name)
	}
}

func (s *Snapshot) checkClassReferences() error {
	for name, o := range s.Organisations {
		for _, c := range append([]string{o.DefaultClass}, o.Classes...) {
			if _, ok := s.Classes[c]; !ok {
				key := descriptor.Key{Kind: descriptor.KindOrganisation, Name: name}
				return &Error{Op: "compile", Kind: ErrorReference, Record: key, Err: fmt.Errorf("class %q does not exist", c)}
			}
		}
	}
	return nil
}
