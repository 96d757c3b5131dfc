package loader

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/pkg/descriptor"
)

// TestDocumentedExamplesAreAccepted checks that every JSON example in the
// operations documentation is valid.
func TestDocumentedExamplesAreAccepted(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	is.NoErr(err)
	blocks := strings.Split(string(page), "```json\n")[1:]
	is.Equal(len(blocks), 3)
	for _, b := range blocks {
		example, _, _ := strings.Cut(b, "```")
		t.Run(strings.TrimSpace(strings.SplitN(example, "\n", 3)[1]), func(t *testing.T) {
			assertAccepted(t, example)
		})
	}
}

// assertAccepted checks that example is a valid settings file or records file.
func assertAccepted(t *testing.T, example string) {
	t.Helper()
	is := is.New(t)
	if strings.HasPrefix(example, "[") {
		_, err := descriptor.DecodeFile([]byte(example))
		is.NoErr(err)
		return
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(path, []byte(example), 0o600))
	var fields map[string]any
	is.NoErr(json.Unmarshal([]byte(example), &fields))
	var err error
	if _, ok := fields["listen"]; ok {
		_, err = ReadEntry(path)
	} else {
		_, err = ReadAgent(path)
	}
	is.NoErr(err)
}
