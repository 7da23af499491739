package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

const (
	watchTimeout    = 10 * time.Second
	watchRetryDelay = 200 * time.Millisecond
)

// Watch calls onChange with each new value of a key until ctx ends. It repeats
// a failed read after watchRetryDelay.
func Watch(ctx context.Context, base, key string, onChange func(json.RawMessage)) {
	var after uint64
	for ctx.Err() == nil {
		value, err := readValue(ctx, base, key, after)
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(watchRetryDelay):
			}
			continue
		}
		if value.Revision != after {
			after = value.Revision
			onChange(value.Value)
		}
	}
}

func readValue(ctx context.Context, base, key string, after uint64) (Value, error) {
	url := fmt.Sprintf("%s/v1/values/%s?after=%d&wait=%s", base, key, after, watchTimeout)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Value{}, trace.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Value{}, trace.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Value{}, trace.BadParameter("platform returned status %s", response.Status)
	}
	var value Value
	return value, trace.Wrap(json.NewDecoder(response.Body).Decode(&value))
}
