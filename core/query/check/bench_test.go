package check_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"comfreytack/core/model"
	"comfreytack/core/query/check"
)

// BenchmarkDocument checks a document of 2,000 routes, as a daemon does whenever one is published.
func BenchmarkDocument(b *testing.B) {
	document := model.Document{Version: 7, Intake: model.Intake{MaxBodyBytes: 1000}}
	document.Services = []model.DocumentService{{Name: "reservas", Connections: 100, HealthPath: "/health"}}
	for i := range 2000 {
		document.Routes = append(document.Routes, model.HostRoute{
			Name: fmt.Sprintf("r-%06d", i), Host: "beds.example", PathPrefix: fmt.Sprintf("/p%d/", i), TimeoutMs: 2000,
			TargetMs: 600, Attempts: 2, Targets: []model.Target{{Service: "reservas", Weight: 1}},
		})
	}
	raw, err := json.Marshal(document)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, fault := check.Document("document", raw); fault != nil {
			b.Fatal(fault)
		}
	}
}
