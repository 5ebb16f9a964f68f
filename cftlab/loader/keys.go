package loader

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
)

const (
	keyBatchSize  = 50
	keyRetryDelay = 50 * time.Millisecond
	keyTimeout    = time.Second
)

// errNoKeys means that a daemon does not issue keys.
var errNoKeys = errors.New("the daemons issue no keys")

// fetchKeys keeps the channel of keys filled until ctx ends, so that no send has to wait for a key.
func fetchKeys(ctx context.Context, client *http.Client, stream Stream, targets []string, keys chan<- string) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		batch, err := fetchBatch(ctx, client, stream, targets[attempt%len(targets)])
		if errors.Is(err, errNoKeys) {
			return
		}
		if err != nil {
			sleep(ctx, keyRetryDelay)
			continue
		}
		if !enqueue(ctx, batch, keys) {
			return
		}
	}
}

func fetchBatch(ctx context.Context, client *http.Client, stream Stream, target string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, keyTimeout)
	defer cancel()
	query := url.Values{
		"customer": {string(stream.Customer)},
		"service":  {string(stream.Service)},
		"count":    {fmt.Sprint(keyBatchSize)},
	}
	address := "http://" + target + "/keys?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return nil, errNoKeys
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.New(response.Status)
	}
	var issued struct {
		Keys []string `json:"keys"`
	}
	err = json.NewDecoder(response.Body).Decode(&issued)
	return issued.Keys, errors.WithStack(err)
}

// enqueue sends the batch to keys and returns false when ctx ends first.
func enqueue(ctx context.Context, batch []string, keys chan<- string) bool {
	for _, key := range batch {
		select {
		case keys <- key:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-time.After(span):
	case <-ctx.Done():
	}
}
