// Package learn makes the classes that class.Classifier learns available to concurrent goroutines.
package learn

import (
	"sync"
	"time"

	"comfreytack/core/command/class"
	"comfreytack/core/model"
)

// Classifier guards a class.Classifier with a mutex.
type Classifier struct {
	snapshot func() *model.Snapshot

	mu         sync.Mutex
	classifier *class.Classifier
}

// New returns a guarded Classifier. The function snapshot returns the current control state.
func New(snapshot func() *model.Snapshot, classifier *class.Classifier) *Classifier {
	return &Classifier{snapshot: snapshot, classifier: classifier}
}

// Classify returns the class that the service's routes configure for a call, or else the one learnt from earlier runs.
func (c *Classifier) Classify(call model.Call) model.Class {
	service := c.service(call)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.classifier.Classify(service, call.Method, call.Path)
}

// RecordRun records that a call held a slot for the given time while the mean run time of short work was mean.
func (c *Classifier) RecordRun(call model.Call, held, mean time.Duration) {
	service := c.service(call)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.classifier.RecordRun(service, call.Method, call.Path, held, mean)
}

// RecordOverrun records that a call classified as short turned out to be long.
func (c *Classifier) RecordOverrun(call model.Call) {
	service := c.service(call)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.classifier.RecordOverrun(service, call.Method, call.Path)
}

func (c *Classifier) service(call model.Call) model.Service {
	return c.snapshot().Services[call.Service]
}
