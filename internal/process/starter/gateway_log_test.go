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

// logBuffer collects the log output. It is safe for concurrent use.
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

// keyValuePattern matches a pair key=value, whose value may be quoted.
var keyValuePattern = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)

// parseFields returns the key=value pairs of a log line.
func parseFields(line string) map[string]string {
	out := map[string]string{}
	for _, m := range keyValuePattern.FindAllStringSubmatch(line, -1) {
		out[m[1]] = strings.Trim(m[2], `"`)
	}
	return out
}

// readLogExamples returns the example log lines of docs/OPERATIONS.md in the
// section on finding the cause of a failed request by its id.
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

// The program must write the log lines that docs/OPERATIONS.md shows for the same
// faults.
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
	refusing := emulator.NewObjectStore()
	refusing.SetMode(emulator.StoreBusy)
	t.Cleanup(refusing.Stop)
	second := r.startEntry("entry-2", r.serveStore(refusing).URL)
	assertEventually(t, "the outage of the platform is logged", func() bool { return strings.Contains(log.String(), "platform out of reach") })
	assertStatus(t, second.call(http.MethodPost, "/hold/1", "refused", "", nil), http.StatusServiceUnavailable)
	assertEventually(t, "the refused request is logged", func() bool { return strings.Contains(log.String(), "request=refused") })
	crashing := newGatewayFixture(t, neededCrashes+1)
	third := crashing.startReadyEntry()
	crashRunners(t, crashing, third)
	assertStatus(t, callWithParts(third, "quarantined", "aa:800,dead:9,dd:1"), http.StatusServiceUnavailable)
	cutting := newGatewayFixture(t, 0)
	cutting.startCuttingUpstream("i-a")
	fourth := cutting.startReadyEntry()
	fourth.callOverSocket(framingUnframed, "HTTP/1.1", "unframed")
	fourth.callOverSocket(framingChunked, "HTTP/1.1", "chunked")

	var logged []map[string]string
	for line := range strings.Lines(log.String()) {
		logged = append(logged, parseFields(line))
	}
	examples := readLogExamples(t)
	is.New(t).True(len(examples) >= 12)
	for _, example := range examples {
		t.Run(example["msg"]+" "+example["outcome"]+example["kind"]+example["framing"], func(t *testing.T) { assertLogged(t, logged, example) })
	}
}

// assertLogged checks that a logged line has the message, the outcome, the status, the
// framing and all keys of the example.
func assertLogged(t *testing.T, logged []map[string]string, example map[string]string) {
	t.Helper()
	for _, line := range logged {
		matches := line["msg"] == example["msg"] && line["outcome"] == example["outcome"] &&
			line["status"] == expectedValue("status", example, line) && line["framing"] == expectedValue("framing", example, line)
		for key := range example {
			_, ok := line[key]
			matches = matches && ok
		}
		if matches {
			return
		}
	}
	t.Fatalf("no logged line matches the example %v", example)
}

// expectedValue returns the value of a key that a line must have: the one of the example
// or, if the example has none, the one of the line itself.
func expectedValue(key string, example, line map[string]string) string {
	if v, ok := example[key]; ok {
		return v
	}
	return line[key]
}
