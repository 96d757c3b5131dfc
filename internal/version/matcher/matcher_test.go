package matcher

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

func configuration() Configuration {
	urgent, patient := 0, 1
	share := []Share{{Service: "desk", Weight: 1}}
	return Configuration{
		Version: 1,
		Routes: []Route{
			{Name: "all", Host: "desk.example", PathPrefix: "/", Shares: share, Priority: 2, GapTarget: 800 * time.Millisecond},
			{Name: "chat", Host: "desk.example", PathPrefix: "/chat/", Shares: share, Priority: 0, GapTarget: 200 * time.Millisecond},
			{Name: "open", Host: "open.example", PathPrefix: "/", Shares: share, Public: true},
			{Name: "split", Host: "split.example", PathPrefix: "/", Shares: []Share{{"a", 90}, {"b", 10}, {"c", 0}}},
		},
		Organisations: []Organisation{
			{Name: "guides", Keys: []string{"g1", "g2"}, Priority: &urgent},
			{Name: "staff", Keys: []string{"s1"}, Priority: &patient},
			{Name: "others", Keys: []string{"o1"}},
		},
	}
}

// A request must be handled by the route that the configuration names for it,
// and by no other.
func TestAdmitRoute(t *testing.T) {
	table := New(configuration())
	for _, c := range []struct {
		name, host, path, key, route string
		status                       int
	}{
		{"longest prefix", "desk.example", "/chat/1", "g1", "chat", 0},
		{"shorter prefix", "desk.example", "/chats", "g1", "all", 0},
		{"port and case of the host", "Desk.Example:8080", "/x", "g1", "all", 0},
		{"other host", "elsewhere", "/x", "g1", "", http.StatusNotFound},
		{"no key", "desk.example", "/x", "", "", http.StatusUnauthorized},
		{"unknown key", "desk.example", "/x", "g3", "", http.StatusUnauthorized},
		{"public route without a key", "open.example", "/x", "", "open", 0},
		{"public route with an unknown key", "open.example", "/x", "g3", "open", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a, failure := table.Admit(Query{Host: c.host, Path: c.path, Key: c.key})
			if c.status != 0 {
				is.Equal(failure.Status, c.status)
				return
			}
			is.True(failure == nil)
			is.Equal(a.Route.Name, c.route)
		})
	}
}

// An engine preempts the newest of the least urgent requests. Requests of one
// organisation's priority that are equal for it lost a chat to a briefing.
func TestAdmitPriority(t *testing.T) {
	table := New(configuration())
	priority := func(key, path string) int {
		a, failure := table.Admit(Query{Host: "desk.example", Path: path, Key: key})
		is.New(t).True(failure == nil)
		return a.Priority
	}
	order := []int{
		priority("g1", "/chat/1"), priority("g1", "/brief/1"),
		priority("s1", "/chat/1"), priority("s1", "/brief/1"),
		priority("o1", "/brief/1"),
	}
	for i := 1; i < len(order); i++ {
		is.New(t).True(order[i-1] < order[i])
	}
	is.New(t).Equal(priority("o1", "/chat/1"), order[0])
	t.Run("more urgencies than levels", func(t *testing.T) {
		c := configuration()
		for i := range 20 {
			p := i
			c.Organisations = append(c.Organisations, Organisation{Name: fmt.Sprint(i), Keys: []string{fmt.Sprint("k", i)}, Priority: &p})
		}
		table := New(c)
		last := 0
		for i := range 20 {
			a, _ := table.Admit(Query{Host: "desk.example", Path: "/chat/1", Key: fmt.Sprint("k", i)})
			is.New(t).True(a.Priority >= last && a.Priority < Levels)
			last = a.Priority
		}
		is.New(t).Equal(last, Levels-1)
	})
}

// The services of a route must get their shares, and all attempts of one request
// the same service.
func TestAdmitShares(t *testing.T) {
	table := New(configuration())
	counts := map[string]int{}
	for i := range 1000 {
		a, _ := table.Admit(Query{Host: "split.example", Path: "/x", Key: "g1", ID: fmt.Sprint(i)})
		b, _ := table.Admit(Query{Host: "split.example", Path: "/x", Key: "g1", ID: fmt.Sprint(i)})
		is.New(t).Equal(a.Service.Name, b.Service.Name)
		counts[a.Service.Name]++
	}
	is.New(t).True(counts["b"] > 50 && counts["b"] < 150)
	is.New(t).Equal(counts["c"], 0)
}

// Streams with long pauses are told apart from the others of their service.
func TestPatient(t *testing.T) {
	table := New(configuration())
	is := is.New(t)
	is.True(table.Patient(configuration().Routes[0]))
	is.True(!table.Patient(configuration().Routes[1]))
}
