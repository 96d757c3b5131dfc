package syncer

import (
	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
)

// ignoreObject logs an object that cannot be decoded, once for each revision.
func (s *Syncer) ignoreObject(o accessor.Object, err error) {
	if s.isNewlyIgnored(o) {
		klog.InfoS("object ignored", "key", o.Key, "revision", o.Version, "err", err)
	}
}

// isNewlyIgnored reports whether an object was not ignored at the same revision before.
// The revision is zero if it cannot be read.
func (s *Syncer) isNewlyIgnored(o accessor.Object) bool {
	if last, ok := s.ignoredRevisions[o.Key]; ok && last == o.Version {
		return false
	}
	if len(s.ignoredRevisions) >= maxIgnoredRevisions {
		clear(s.ignoredRevisions)
	}
	s.ignoredRevisions[o.Key] = o.Version
	return true
}

// maxIgnoredRevisions is the maximum number of objects in ignoredRevisions.
const maxIgnoredRevisions = 256
