package check_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/query/check"
)

const upstream = `{"name":"s-1","incarnation":1,"service":"s","failure_domain":"d","gate":"127.0.0.1:1","peer":"127.0.0.1:2","state":"live"}`

func TestValue(t *testing.T) {
	tests := []struct {
		name string
		key  string
		raw  string
		want string
	}{
		{"a good contract", "contracts/a", `{"customer":"a","weight":1,"tier":"standard","deadline_ms":500,"longest_ms":9000}`, ""},
		{"weight 0", "contracts/a", "{\"customer\":\"a\",\n\"weight\":0,\"tier\":\"standard\",\"deadline_ms\":500,\"longest_ms\":9000}", "contracts/a:2: weight: found 0; allowed: from 1 to 1000"},
		{"longest below deadline", "contracts/a", "{\"customer\":\"a\",\n\"weight\":1,\"tier\":\"standard\",\"deadline_ms\":500,\n\"longest_ms\":9}", "contracts/a:3: longest_ms: found 9; allowed: from 500 to 86400000"},
		{"unknown field", "contracts/a", "{\"customer\":\"a\",\n\"wieght\":1}", "contracts/a:2: wieght: found an unknown field; allowed: the fields that the documentation lists"},
		{"unknown tier", "contracts/a", "{\n\"tier\":\"gold\"}", "contracts/a:2: tier: found unknown tier \"gold\""},
		{"wrong kind", "contracts/a", "{\"customer\":\"a\",\n\n\"weight\":\"1\"}", "contracts/a:3: weight: found a JSON string; allowed: a whole number"},
		{"wrong customer", "contracts/a", `{"customer":"b","weight":1,"tier":"standard","deadline_ms":500,"longest_ms":9000}`, "contracts/a:1: customer: found \"b\"; allowed: \"a\""},
		{"cut off", "contracts/a", "{\"customer\":\n\"a\"", "contracts/a:2: found unexpected EOF; allowed: JSON with each name once"},
		{"member twice", "contracts/a", "{\"customer\":\"a\",\n\"customer\":\"a\"}", "contracts/a:2: customer: found duplicate object member name; allowed: JSON with each name once"},
		{"upstream twice", "services/s", "{\"name\":\"s\",\"slots\":1,\"connections\":1,\"upstreams\":[\n" + upstream + ",\n" + upstream + "]}", "services/s:3: upstreams.1.name: found \"s-1\" twice; allowed: each name once"},
		{"host name for address", "services/s", "{\"name\":\"s\",\"slots\":1,\"connections\":1,\"upstreams\":[" + strings.Replace(upstream, "127.0.0.1:1", "localhost:1", 1) + "]}", "services/s:1: upstreams.0.gate: found \"localhost:1\"; allowed: an IP address and a port from 1 to 65535, such as 127.0.0.1:7101"},
		{"port zero", "services/s", "{\"name\":\"s\",\"slots\":1,\"connections\":1,\"upstreams\":[" + strings.Replace(upstream, "127.0.0.1:1", "127.0.0.1:0", 1) + "]}", "services/s:1: upstreams.0.gate: found \"127.0.0.1:0\"; allowed: an IP address and a port from 1 to 65535, such as 127.0.0.1:7101"},
		{"a daemon's own status for shedding", "services/s", `{"name":"s","slots":1,"connections":1,"shed_status":503,"upstreams":[]}`, "services/s:1: shed_status: found 503; allowed: 0, or a status from 400 to 599 that daemons never send themselves, such as 529"},
		{"a status of its own for shedding", "services/s", `{"name":"s","slots":1,"connections":1,"shed_status":529,"upstreams":[]}`, ""},
		{"a good mark", "marks/s-1", `{"incarnation":7,"state":"leaving"}`, ""},
		{"mark without incarnation", "marks/s-1", `{"state":"joining"}`, "marks/s-1:1: incarnation: found 0; allowed: at least 1"},
		{"unknown kind", "tenants/a", `{}`, "tenants/a:1: found an unknown kind of key; allowed: contracts/CUSTOMER, services/NAME, marks/UPSTREAM, instances/ID, evacuations/DOMAIN, document"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := ""
			if fault := check.Value(test.key, []byte(test.raw)); fault != nil {
				got = fault.Error()
			}
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}
