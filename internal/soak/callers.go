package soak

import (
	"context"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"tamarackreach/platform/platformtest"
)

// call is a request of a caller and its result. Its kind is the name of a route of
// platformtest.Config: "s" is streaming, "r" idempotent and "p" non-idempotent.
type call struct {
	id, kind, path, key, vm string
	sent, ended             time.Time
	deadline                time.Duration
	// status and header are those of the response's head; the status is 0 when none
	// was received.
	status int
	header http.Header
	body   string
	// complete is true when the response ended as the protocol demands.
	complete bool
	// loss is why the response is missing or incomplete; malformed is true when the
	// bytes received are not a response.
	loss      string
	malformed bool
	// stray holds bytes that arrived on the connection before the request.
	stray string
}

func (c *call) method() string {
	if c.kind == "r" {
		return http.MethodGet
	}
	return http.MethodPost
}

func (c *call) succeeded() bool { return c.complete && c.status == http.StatusOK }

// callers simulates clients with persistent connections and records every call.
type callers struct {
	vms     []*vm
	keys    *keyring
	mu      sync.Mutex
	calls   []call
	running sync.WaitGroup
	// distinct makes the content of half of the requests distinct.
	distinct bool
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
			client := &client{}
			defer client.close()
			for number := 0; ctx.Err() == nil; number++ {
				// A caller uses one VM for 20 requests, as a persistent connection does.
				entryVM := c.vms[(i+number/20)%len(c.vms)]
				kind := []string{"s", "r", "p"}[random.IntN(3)]
				id := fmt.Sprintf("%s-%d-%d-%d", kind, seed, i, number)
				c.send(client, entryVM, kind, c.path(kind, id, number%2 == 0), id, c.keys.choose(random))
				time.Sleep(time.Duration(random.Int64N(2 * int64(meanPause))))
			}
		}()
	}
}

// path returns the path of a request. Shared content has the same path in all
// requests of a kind.
func (c *callers) path(kind, id string, shared bool) string {
	if shared || !c.distinct {
		return "/" + kind + "/x"
	}
	return "/" + kind + "/" + id
}

// send makes one request, reads the response to its end and records both.
func (c *callers) send(from *client, to *vm, kind, path, id, key string) call {
	return c.sendParts(from, to, kind, path, id, key, "")
}

// sharedParts is the number of first parts that the prompts of streams share.
const sharedParts = 4

// sendParts makes a request whose prompt holds a part that crashes targets, unless it is
// empty.
func (c *callers) sendParts(from *client, to *vm, kind, path, id, key, crashingPart string) call {
	result := call{id: id, kind: kind, path: path, key: key, vm: to.name, sent: time.Now(), deadline: callTimeout}
	req, err := http.NewRequest(result.method(), "http://"+to.client+path, nil)
	if err != nil {
		result.loss = err.Error()
		return result
	}
	req.Host = "h"
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("Tamarackreach-Attempt-Id", id)
	req.Header.Set("Tamarackreach-Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	if kind == "s" {
		req.Header.Set(platformtest.Parts(len(id)%sharedParts, crashingPart, hex.EncodeToString([]byte(id))))
	}
	from.do(to.client, req, &result)
	result.ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, result)
	return result
}

// keyring holds a permanent key and a temporary one that each rotation replaces.
type keyring struct {
	mu        sync.Mutex
	version   int
	temporary string
	// removed is the time at which the store acknowledged the removal of a key.
	removed map[string]time.Time
}

// permanentKey is the key of workspace that stays valid.
const permanentKey, workspace = "lasting", "ws"

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
