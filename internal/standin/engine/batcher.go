package engine

import (
	"sync"
	"time"
)

// job is one decode step that is queued for a batch.
type job struct {
	priority uint32
	sequence uint64
	run      func()
}

// batcher runs queued jobs in batches of at most maxBatch, highest priority first.
// Each batch takes stepTime.
type batcher struct {
	maxBatch int
	stepTime func() time.Duration

	mu       sync.Mutex
	waiting  []job
	running  int
	sequence uint64
	wake     chan struct{}
	stopped  chan struct{}
}

func newBatcher(maxBatch uint32, stepTime func() time.Duration) *batcher {
	b := &batcher{
		maxBatch: int(max(maxBatch, 1)),
		stepTime: stepTime,
		wake:     make(chan struct{}, 1),
		stopped:  make(chan struct{}),
	}
	go b.loop()
	return b
}

func (b *batcher) enqueue(priority uint32, run func()) {
	b.mu.Lock()
	b.sequence++
	b.insert(job{priority: priority, sequence: b.sequence, run: run})
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// insert adds a job to the queue, which is ordered by descending priority, then by
// arrival.
func (b *batcher) insert(j job) {
	at := len(b.waiting)
	for at > 0 && b.waiting[at-1].priority < j.priority {
		at--
	}
	b.waiting = append(b.waiting, job{})
	copy(b.waiting[at+1:], b.waiting[at:])
	b.waiting[at] = j
}

// load returns the numbers of running and queued jobs.
func (b *batcher) load() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.waiting)
}

func (b *batcher) stop() { close(b.stopped) }

func (b *batcher) loop() {
	for {
		batch := b.nextBatch()
		if len(batch) == 0 {
			select {
			case <-b.wake:
				continue
			case <-b.stopped:
				return
			}
		}
		select {
		case <-time.After(b.stepTime()):
		case <-b.stopped:
			return
		}
		for _, j := range batch {
			go j.run()
		}
	}
}

// nextBatch removes the next batch from the queue.
func (b *batcher) nextBatch() []job {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(b.maxBatch, len(b.waiting))
	batch := append([]job(nil), b.waiting[:n]...)
	b.waiting = append(b.waiting[:0], b.waiting[n:]...)
	b.running = n
	return batch
}
