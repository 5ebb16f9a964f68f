package start

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"comfreytack/core/command/daemon"
	"comfreytack/core/model"
)

const pollInterval = 500 * time.Millisecond

// runControl runs the control goroutine and reads the platform beside it.
func runControl(ctx context.Context, p plan) {
	go poll(ctx, p)
	p.control.Run(ctx)
}

func poll(ctx context.Context, p plan) {
	timer := time.NewTicker(pollInterval)
	defer timer.Stop()
	for {
		if event, err := read(ctx, p); err == nil {
			p.control.Post(event)
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
	}
}

func read(ctx context.Context, p plan) (daemon.ChangesRead, error) {
	var event daemon.ChangesRead
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(p.settings.Platform[0])+"/v1/changes?after=0", nil)
	if err != nil {
		return event, err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return event, err
	}
	defer answer.Body.Close()
	var document struct {
		Revision model.Revision
		Changes  []struct {
			Key   string
			Value json.RawMessage
		}
	}
	if err := json.NewDecoder(answer.Body).Decode(&document); err != nil {
		return event, err
	}
	event.Revision = document.Revision
	for _, change := range document.Changes {
		switch kind, _, _ := strings.Cut(change.Key, "/"); kind {
		case "contracts":
			var contract model.Contract
			if json.Unmarshal(change.Value, &contract) == nil {
				event.Contracts = append(event.Contracts, contract)
			}
		case "services":
			var service model.Service
			if json.Unmarshal(change.Value, &service) == nil {
				event.Services = append(event.Services, service)
			}
		}
	}
	return event, nil
}
