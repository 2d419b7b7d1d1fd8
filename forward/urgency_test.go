package forward

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/route"
)

// caller is a request whose urgency is compared with others.
type caller struct {
	// priority is the priority of the customer, or nil.
	priority *int
	// route is the priority of the route.
	route int
}

// name identifies the caller in IDs, keys and failures.
func (c caller) name() string {
	if c.priority == nil {
		return fmt.Sprintf("none-%d", c.route)
	}
	return fmt.Sprintf("%d-%d", *c.priority, c.route)
}

// urgenciesOf sends a request for each caller through one deployment and returns
// the urgencies that the server received.
func urgenciesOf(t *testing.T, callers []caller) []int {
	var routes []route.Route
	for _, c := range callers {
		routes = append(routes, route.Route{Name: c.name(), Prefix: "/" + c.name() + "/", Priority: c.route})
	}
	d := newDeployment(t, routes...)
	d.config.Customers = nil
	for _, c := range callers {
		d.config.Customers = append(d.config.Customers, route.Customer{Name: c.name(), Keys: []string{c.name()}, Priority: c.priority})
	}
	d.table = route.Compile(&d.config)
	d.addServer("a", serves)
	d.start()
	var urgencies []int
	for _, c := range callers {
		res := d.sendWithKey("GET", "/"+c.name()+"/x", c.name(), c.name())
		assert.Equal(t, res.status, 200)
		urgencies = append(urgencies, d.runsOf(c.name())[0].urgency)
	}
	return urgencies
}

// TestServersPreemptNoUrgentRequestForALessUrgentOneOfAnEqualCustomer guards against sending equal urgencies for routes of different priorities.
func TestServersPreemptNoUrgentRequestForALessUrgentOneOfAnEqualCustomer(t *testing.T) {
	zero, one := 0, 1
	ordered := []caller{{&zero, 0}, {&zero, 1}, {&zero, 2}, {&one, 0}, {&one, 1}, {&one, 2}}
	got := urgenciesOf(t, ordered)
	for i, u := range got {
		assert.Assert(t, u >= 0 && u <= route.MaxUrgency, "%s: %d", ordered[i].name(), u)
		assert.Assert(t, i == 0 || u > got[i-1], "%s is sent as %d, %s as %d", ordered[max(0, i-1)].name(), got[max(0, i-1)], ordered[i].name(), u)
	}
}
