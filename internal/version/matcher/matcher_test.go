package matcher

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

func testConfiguration() Configuration {
	high, low := 0, 1
	services := []WeightedService{{Service: "desk", Weight: 1}}
	return Configuration{
		Version: 1,
		Routes: []Route{
			{Name: "all", Host: "desk.example", PathPrefix: "/", WeightedServices: services, Priority: 2, GapTarget: 800 * time.Millisecond},
			{Name: "chat", Host: "desk.example", PathPrefix: "/chat/", WeightedServices: services, Priority: 0, GapTarget: 200 * time.Millisecond},
			{Name: "open", Host: "open.example", PathPrefix: "/", WeightedServices: services, Public: true},
			{Name: "split", Host: "split.example", PathPrefix: "/", WeightedServices: []WeightedService{{"a", 90}, {"b", 10}, {"c", 0}}},
		},
		Keys: KeysRequired,
		Organisations: []Organisation{
			{Name: "guides", Keys: []string{"g1", "g2"}, Priority: &high},
			{Name: "staff", Keys: []string{"s1"}, Priority: &low},
			{Name: "others", Keys: []string{"o1"}},
		},
	}
}

// A request must be handled by the route with the longest prefix for its
// host, and only with a valid key unless the route is public.
func TestAdmitSelectsRouteByHostAndLongestPrefix(t *testing.T) {
	table := New(testConfiguration())
	for _, c := range []struct {
		name, host, path, key, route string
		status                       int
	}{
		{"two prefixes match: longest one", "desk.example", "/chat/1", "g1", "chat", 0},
		{"only the shorter prefix matches", "desk.example", "/chats", "g1", "all", 0},
		{"host with port and upper case: matched", "Desk.Example:8080", "/x", "g1", "all", 0},
		{"unknown host: not found", "elsewhere", "/x", "g1", "", http.StatusNotFound},
		{"no key: unauthorised", "desk.example", "/x", "", "", http.StatusUnauthorized},
		{"unknown key: unauthorised", "desk.example", "/x", "g3", "", http.StatusUnauthorized},
		{"public route without a key: admitted", "open.example", "/x", "", "open", 0},
		{"public route with an unknown key: admitted", "open.example", "/x", "g3", "open", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a, failure := table.Admit(Query{Host: c.host, Path: c.path, APIKey: c.key})
			if c.status != 0 {
				is.Equal(failure.Status, c.status)
				return
			}
			is.True(failure == nil)
			is.Equal(a.Route.Name, c.route)
		})
	}
}

// A configuration whose last organisation was removed must not admit everybody, as one of a
// deployment without organisations does.
func TestAdmitFollowsKeyPolicyWithoutOrganisations(t *testing.T) {
	for _, c := range []struct {
		name     string
		policy   KeyPolicy
		host     string
		admitted bool
	}{
		{"keys are required", KeysRequired, "desk.example", false},
		{"the policy is not stated", KeysUnstated, "desk.example", false},
		{"keys are required, but the route is public", KeysRequired, "open.example", true},
		{"keys are optional", KeysOptional, "desk.example", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			configuration := testConfiguration()
			configuration.Keys, configuration.Organisations = c.policy, nil
			table := New(configuration)
			assertAdmitted(t, table, Query{Host: c.host, Path: "/x"}, c.admitted)
			assertAdmitted(t, table, Query{Host: c.host, Path: "/x", APIKey: "g1"}, c.admitted)
		})
	}
}

// An empty string in a list of keys, as from a variable that is not set, admitted requests
// without a key.
func TestAdmitRequiresKeyBesideEmptyKey(t *testing.T) {
	configuration := testConfiguration()
	configuration.Organisations[0].Keys = []string{"", "g1"}
	table := New(configuration)
	assertAdmitted(t, table, Query{Host: "desk.example", Path: "/x"}, false)
	assertAdmitted(t, table, Query{Host: "desk.example", Path: "/x", APIKey: "g1"}, true)
	assertAdmitted(t, table, Query{Host: "open.example", Path: "/x"}, true)
}

// assertAdmitted checks whether a request is admitted, and otherwise refused for its key.
func assertAdmitted(t *testing.T, table *Table, q Query, want bool) {
	t.Helper()
	is := is.New(t)
	_, failure := table.Admit(q)
	is.Equal(failure == nil, want)
	if failure != nil {
		is.Equal(failure.Status, http.StatusUnauthorized)
	}
}

// An engine preempts the newest of the least urgent requests. With equal
// priority levels for all requests of an organisation, an interactive chat
// was preempted for a long briefing. Requests of one organisation are
// therefore also ordered by the priority of their route.
func TestAdmitRanksOrganisationBeforeRoutePriority(t *testing.T) {
	table := New(testConfiguration())
	priority := func(key, path string) int {
		a, failure := table.Admit(Query{Host: "desk.example", Path: path, APIKey: key})
		is.New(t).True(failure == nil)
		return a.Priority
	}
	levels := []int{
		priority("g1", "/chat/1"), priority("g1", "/brief/1"),
		priority("s1", "/chat/1"), priority("s1", "/brief/1"),
		priority("o1", "/brief/1"),
	}
	for i := 1; i < len(levels); i++ {
		is.New(t).True(levels[i-1] < levels[i])
	}
	is.New(t).Equal(priority("o1", "/chat/1"), levels[0])
	t.Run("more priorities than levels: levels are shared in order", func(t *testing.T) {
		c := testConfiguration()
		for i := range 20 {
			p := i
			c.Organisations = append(c.Organisations, Organisation{Name: fmt.Sprint(i), Keys: []string{fmt.Sprint("k", i)}, Priority: &p})
		}
		table := New(c)
		last := 0
		for i := range 20 {
			a, _ := table.Admit(Query{Host: "desk.example", Path: "/chat/1", APIKey: fmt.Sprint("k", i)})
			is.New(t).True(a.Priority >= last && a.Priority < PriorityLevels)
			last = a.Priority
		}
		is.New(t).Equal(last, PriorityLevels-1)
	})
}

// Services get requests in proportion to their weights, and all attempts of
// one request go to the same service.
func TestAdmitSplitsRequestsByServiceWeight(t *testing.T) {
	table := New(testConfiguration())
	counts := map[string]int{}
	for i := range 1000 {
		a, _ := table.Admit(Query{Host: "split.example", Path: "/x", APIKey: "g1", RequestID: fmt.Sprint(i)})
		b, _ := table.Admit(Query{Host: "split.example", Path: "/x", APIKey: "g1", RequestID: fmt.Sprint(i)})
		is.New(t).Equal(a.Service.Name, b.Service.Name)
		counts[a.Service.Name]++
	}
	is.New(t).True(counts["b"] > 50 && counts["b"] < 150)
	is.New(t).Equal(counts["c"], 0)
}
