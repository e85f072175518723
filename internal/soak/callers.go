package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// call is a request of a caller and its result. Its kind is the name of a route of
// platformtest.Config: "s" is streaming, "r" idempotent and "p" non-idempotent.
type call struct {
	id, kind, key string
	sent          time.Time
	status        int // 0 when no complete response was received
	body          string
}

// callers simulates clients with persistent connections and records every call.
type callers struct {
	vms     []*vm
	keys    *keyring
	mu      sync.Mutex
	calls   []call
	running sync.WaitGroup
}

// callTimeout is the deadline of one call.
const callTimeout = 6 * time.Second

// meanPause is the mean pause of a caller between a response and its next request.
const meanPause = 40 * time.Millisecond

// start runs n callers until the context ends.
func (c *callers) start(ctx context.Context, seed uint64, n int) {
	for i := range n {
		random := rand.New(rand.NewPCG(seed, uint64(i)+100))
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			for number := 0; ctx.Err() == nil; number++ {
				// A caller uses one VM for 20 requests, as a persistent connection does.
				entryVM := c.vms[(i+number/20)%len(c.vms)]
				kind := []string{"s", "r", "p"}[random.IntN(3)]
				c.record(c.send(client, entryVM, kind, fmt.Sprintf("%s-%d-%d-%d", kind, seed, i, number), c.keys.choose(random)))
				time.Sleep(time.Duration(random.Int64N(2 * int64(meanPause))))
			}
		}()
	}
}

func (c *callers) record(finished call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, finished)
}

// send makes one request and reads the complete response.
func (c *callers) send(client *http.Client, to *vm, kind, id, key string) call {
	result := call{id: id, kind: kind, key: key, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	method := http.MethodPost
	if kind == "r" {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to.client+"/"+kind+"/x", nil)
	if err != nil {
		return result
	}
	req.Host = "h"
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("Tamarackreach-Attempt-Id", id)
	req.Header.Set("Tamarackreach-Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		return result
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	result.body = string(body)
	if err == nil {
		result.status = resp.StatusCode
	}
	return result
}

// isCompleteStream reports whether a stream has the events 1 to n, each once and
// in order.
func isCompleteStream(body string, n int) bool {
	var want strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return body == want.String()
}

// keyring holds a permanent key and a temporary one that each rotation replaces.
type keyring struct {
	mu        sync.Mutex
	version   int
	temporary string
	// removed is the time at which the store acknowledged the removal of a key.
	removed map[string]time.Time
}

const permanentKey = "lasting"

// choose returns the permanent key for three calls in four, otherwise the current
// temporary key or a removed one.
func (k *keyring) choose(random *rand.Rand) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if random.IntN(4) > 0 {
		return permanentKey
	}
	if random.IntN(2) == 0 {
		for key := range k.removed {
			return key
		}
	}
	return k.temporary
}
