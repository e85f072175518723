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

// call is a request of a caller and what came of it.
type call struct {
	id, kind, key string
	sent          time.Time
	status        int // 0 when no whole answer came
	body          string
}

// callers plays clients that keep their connections, and records every call.
type callers struct {
	vms  []*vm
	keys *keyring
	mu   sync.Mutex
	all  []call
	wait sync.WaitGroup
}

// callTime is how long a caller waits.
const callTime = 6 * time.Second

// callerPause is the mean pause of a caller between two requests.
const callerPause = 40 * time.Millisecond

// start runs n callers until the context ends.
func (c *callers) start(ctx context.Context, seed uint64, n int) {
	for i := range n {
		random := rand.New(rand.NewPCG(seed, uint64(i)+100))
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			for number := 0; ctx.Err() == nil; number++ {
				// A caller stays with its VM for some requests, as an open connection does.
				at := c.vms[(i+number/20)%len(c.vms)]
				kind := []string{"s", "r", "p"}[random.IntN(3)]
				c.record(c.send(client, at, kind, fmt.Sprintf("%s-%d-%d-%d", kind, seed, i, number), c.keys.choose(random)))
				time.Sleep(time.Duration(random.Int64N(2 * int64(callerPause))))
			}
		}()
	}
}

func (c *callers) record(done call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, done)
}

// send makes one request and reads its whole answer.
func (c *callers) send(client *http.Client, at *vm, kind, id, key string) call {
	out := call{id: id, kind: kind, key: key, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	method := http.MethodPost
	if kind == "r" {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at.client+"/"+kind+"/x", nil)
	if err != nil {
		return out
	}
	req.Host = "h"
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("Tamarackreach-Attempt-Id", id)
	req.Header.Set("Tamarackreach-Deadline-Ms", strconv.FormatInt(callTime.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	out.body = string(body)
	if err == nil {
		out.status = resp.StatusCode
	}
	return out
}

// whole checks that a stream has the events 1 to n, each once and in order.
func whole(body string, n int) bool {
	var want strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return body == want.String()
}

// keyring holds a lasting key and one that comes and goes.
type keyring struct {
	mu      sync.Mutex
	version int
	passing string
	// removed is when the removal of a key was acknowledged.
	removed map[string]time.Time
}

const lastingKey = "lasting"

// choose returns the lasting key mostly, else one that is or was valid.
func (k *keyring) choose(random *rand.Rand) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if random.IntN(4) > 0 {
		return lastingKey
	}
	if random.IntN(2) == 0 {
		for key := range k.removed {
			return key
		}
	}
	return k.passing
}
