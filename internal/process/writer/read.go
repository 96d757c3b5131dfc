package writer

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/version/cataloger"
)

// maxReads limits the attempts to read a set that other writers change at the
// same time.
const maxReads = 8

// readSet reads the accepted set. It takes buckets with an unchanged hash from
// cached, which may be nil. It retries if a bucket of the head was deleted before
// it was read.
func readSet(ctx context.Context, s accessor.Store, cached *cataloger.Catalog) (*recordSet, error) {
	for range maxReads {
		o, err := s.Get(ctx, cataloger.HeadKey)
		if err != nil {
			return nil, &Error{Op: "read head " + cataloger.HeadKey, Kind: ErrorUnavailable, Err: err}
		}
		h, err := cataloger.DecodeHead(o.Value)
		if err != nil {
			return nil, &Error{Op: "read head " + cataloger.HeadKey, Kind: ErrorFormat, Err: err}
		}
		c, err := Fetch(ctx, s, h, cached)
		if accessor.IsKind(err, accessor.ErrorConflict) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return &recordSet{head: h, headVersion: o.Version, catalog: c}, nil
	}
	return nil, &Error{Op: "read buckets", Kind: ErrorFormat, Err: errors.Errorf("a bucket of the head was missing in each of %d reads", maxReads)}
}

// Fetch reads the set of the head h. It takes buckets with an unchanged hash
// from cached, which may be nil. It fails with [accessor.ErrorConflict] if a
// bucket does not exist, for example because h is old and the bucket has been
// replaced and deleted.
func Fetch(ctx context.Context, s accessor.Store, h cataloger.Head, cached *cataloger.Catalog) (*cataloger.Catalog, error) {
	var contents [cataloger.BucketCount][]byte
	for n, hash := range h.Buckets {
		if hash == "" {
			continue
		}
		if cached != nil && cached.Hashes[n] == hash {
			contents[n] = cached.Buckets[n]
			continue
		}
		key := cataloger.BucketKey(n, hash)
		o, err := s.Get(ctx, key)
		if err != nil {
			return nil, &Error{Op: "read bucket " + key, Kind: ErrorUnavailable, Err: err}
		}
		if o.Version == 0 {
			return nil, &accessor.Error{Op: "get " + key, Kind: accessor.ErrorConflict, Err: errors.New("the bucket does not exist")}
		}
		contents[n] = o.Value
	}
	c, err := cataloger.Assemble(h.Revision, h.Buckets, contents)
	if err != nil {
		return nil, &Error{Op: fmt.Sprintf("read buckets of revision %d", h.Revision), Kind: ErrorFormat, Err: err}
	}
	return c, nil
}

func encodeHead(h cataloger.Head) ([]byte, error) {
	value, err := json.Marshal(h)
	if err != nil {
		return nil, &Error{Op: fmt.Sprintf("encode head of revision %d", h.Revision), Kind: ErrorFormat, Err: err}
	}
	return value, nil
}
