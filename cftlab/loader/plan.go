package loader

import (
	"encoding/json"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// Parse reads a plan and rejects unknown fields and invalid values.
func Parse(source io.Reader) (Plan, error) {
	var plan Plan
	decoder := json.NewDecoder(source)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&plan); err != nil {
		return Plan{}, errors.Wrap(err, "read the plan")
	}
	for index := range plan.Streams {
		if err := plan.Streams[index].Complete(); err != nil {
			return Plan{}, errors.Wrapf(err, "stream %d of the plan", index)
		}
	}
	return plan, nil
}

// Complete sets defaults and rejects invalid values.
func (s *Stream) Complete() error {
	if s.Method == "" {
		s.Method = "GET"
	}
	if s.Method == "GET" {
		s.Idempotent = true
	}
	if s.Path == "" {
		s.Path = "/"
	}
	switch {
	case s.Customer == "":
		return errors.New("customer: must not be empty")
	case s.Service == "" && !s.Direct:
		return errors.New("service: must not be empty")
	case !strings.HasPrefix(s.Path, "/"):
		return errors.Errorf("path: found %q, must start with a slash", s.Path)
	case s.DeadlineMs <= 0:
		return errors.Errorf("deadline_ms: found %d, must be positive", s.DeadlineMs)
	case s.Rate < 0:
		return errors.Errorf("rate: found %v, must not be negative", s.Rate)
	}
	return nil
}

// Scaled returns the plan with all rates multiplied by factor.
func (p Plan) Scaled(factor float64) Plan {
	scaled := Plan{Streams: append([]Stream{}, p.Streams...)}
	for index := range scaled.Streams {
		stream := &scaled.Streams[index]
		stream.Rate *= factor
		stream.Steps = append([]Step{}, stream.Steps...)
		for step := range stream.Steps {
			stream.Steps[step].Rate *= factor
		}
	}
	return scaled
}
