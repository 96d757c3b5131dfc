package syncer

import (
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// FetchState asks another entry for what it knows of the platform.
type FetchState struct {
	// Version is that of the configuration that the asking entry has in force.
	Version int64 `json:"version"`
}

// State answers a FetchState.
type State struct {
	// Synced is true if the answering entry is in step with the platform.
	Synced bool `json:"synced"`
	// Configuration is set if it is newer than that of the asking entry.
	Configuration *matcher.Configuration `json:"configuration,omitempty"`
	Upstreams     []registrar.Upstream   `json:"upstreams"`
}
