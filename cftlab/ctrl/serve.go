package ctrl

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// Pause waits for span. It returns false if ctx ends first.
func Pause(ctx context.Context, span time.Duration) bool {
	if span <= 0 {
		return true
	}
	select {
	case <-time.After(span):
		return true
	case <-ctx.Done():
		return false
	}
}

// WriteJSON writes value as the JSON body of the response.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
