package picker

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Subset returns the n names that rank highest for identity by rendezvous
// hashing (Thaler and Ravishankar, 1998), or all names if there are at most n. A
// name that is added or removed changes the subsets of few identities, and each
// by one name.
func Subset(identity string, names []string, n int) []string {
	if len(names) <= n {
		return names
	}
	type ranked struct {
		name  string
		score uint64
	}
	all := make([]ranked, len(names))
	for i, name := range names {
		h := fnv.New64a()
		_, _ = h.Write([]byte(identity + "\x00" + name))
		all[i] = ranked{name, mix(h.Sum64())}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	out := make([]string, n)
	for i := range out {
		out[i] = all[i].name
	}
	return out
}

// mix is the finaliser of MurmurHash3. It spreads the last bytes of the input over
// all bits, which FNV does not do.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
