package starter

import (
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/internal/process/logger"
)

// logBuffer keeps what is logged.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

var keyValuePattern = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)

// parseFields returns the key=value pairs of a line.
func parseFields(line string) map[string]string {
	out := map[string]string{}
	for _, m := range keyValuePattern.FindAllStringSubmatch(line, -1) {
		out[m[1]] = strings.Trim(m[2], `"`)
	}
	return out
}

// readLogExamples returns the log lines of the section that shows the way from the id
// of a request to the cause of its failure.
func readLogExamples(t *testing.T) (out []map[string]string) {
	t.Helper()
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	is.New(t).NoErr(err)
	_, section, ok := strings.Cut(string(page), "### From the id of a failed request to its cause")
	is.New(t).True(ok)
	section, _, _ = strings.Cut(section, "\n## ")
	for line := range strings.Lines(section) {
		if strings.HasPrefix(line, "    msg=") {
			out = append(out, parseFields(line))
		}
	}
	return out
}

// The log lines of the operators' page must be those that the program writes
// when the same happens.
func TestGatewayLogExamples(t *testing.T) {
	var log logBuffer
	logger.Setup(&log)
	t.Cleanup(klog.ClearLogger)
	r := newGatewayFixture(t, 2)
	g := r.startReadyEntry()
	r.setBehaviour(emulator.RunnerFails)
	assertStatus(t, g.call(http.MethodPost, "/check/1", "failed", "", nil), http.StatusInternalServerError)
	r.setBehaviour(emulator.RunnerResets)
	assertStatus(t, g.call(http.MethodPost, "/hold/1", "lost", "", nil), http.StatusBadGateway)
	closed := emulator.NewObjectStore()
	closed.SetMode(emulator.StoreBusy)
	t.Cleanup(closed.Stop)
	second := r.startEntry("entry-2", r.serveStore(closed).URL)
	assertEventually(t, "it notices", func() bool { return strings.Contains(log.String(), "platform out of reach") })
	assertStatus(t, second.call(http.MethodPost, "/hold/1", "refused", "", nil), http.StatusServiceUnavailable)
	assertEventually(t, "all is logged", func() bool { return strings.Contains(log.String(), "request=refused") })

	var seen []map[string]string
	for line := range strings.Lines(log.String()) {
		seen = append(seen, parseFields(line))
	}
	all := readLogExamples(t)
	is.New(t).True(len(all) >= 8)
	for _, example := range all {
		t.Run(example["msg"]+" "+example["outcome"]+example["kind"], func(t *testing.T) { assertLogged(t, seen, example) })
	}
}

// assertLogged checks that a line with the message, the outcome and all keys of an
// example was logged.
func assertLogged(t *testing.T, seen []map[string]string, example map[string]string) {
	t.Helper()
	for _, line := range seen {
		same := line["msg"] == example["msg"] && line["outcome"] == example["outcome"] && line["status"] == expectedStatus(example, line)
		for key := range example {
			_, ok := line[key]
			same = same && ok
		}
		if same {
			return
		}
	}
	t.Fatalf("no such line was logged: %v", example)
}

// expectedStatus returns the status that a line must have: that of the example, or
// any if the example leaves it out.
func expectedStatus(example, line map[string]string) string {
	if s, ok := example["status"]; ok {
		return s
	}
	return line["status"]
}
