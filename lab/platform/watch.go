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
	watchWait  = 10 * time.Second
	watchPause = 200 * time.Millisecond
)

// Watch calls changed with every new value of a key until ctx ends. Failed
// reads are repeated after a pause.
func Watch(ctx context.Context, base, key string, changed func(json.RawMessage)) {
	var after uint64
	for ctx.Err() == nil {
		value, err := read(ctx, base, key, after)
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(watchPause):
			}
			continue
		}
		if value.Revision != after {
			after = value.Revision
			changed(value.Value)
		}
	}
}

func read(ctx context.Context, base, key string, after uint64) (Value, error) {
	url := fmt.Sprintf("%s/v1/values/%s?after=%d&wait=%s", base, key, after, watchWait)
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
		return Value{}, trace.BadParameter("platform answers %s", response.Status)
	}
	var value Value
	return value, trace.Wrap(json.NewDecoder(response.Body).Decode(&value))
}
