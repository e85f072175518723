package engine

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/gen/tamarack/v1/tamarackv1connect"
	"tamarackreach/internal/model"
	"tamarackreach/internal/rpc"
	"tamarackreach/internal/standin/control"
)

// Engine is one stand-in engine.
type Engine struct {
	config Config
	host   *Host

	mu       sync.Mutex
	life     uint64
	model    string
	version  model.ModelVersion
	layers   model.LayerRange
	fencing  uint64
	leaving  bool
	sessions map[string]*session
	logs     map[attemptKey]*frameLog
	cache    *prefixCache
	batches  *batcher
	listener *control.SilentListener
	server   *http.Server
}

// newEngine returns an engine that is not up yet.
func newEngine(config Config, host *Host) *Engine {
	return &Engine{
		config: config, host: host, life: max(config.Incarnation, 1),
		model: config.Model, version: config.Version, layers: config.Layers,
	}
}

// up starts to serve, with empty state.
func (e *Engine) up() error {
	listener, err := control.Listen(e.config.Address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(tamarackv1connect.NewEngineServiceHandler(e, connect.WithCompressMinBytes(compressMinBytes)))
	server := rpc.NewServer(mux)
	e.mu.Lock()
	e.sessions = make(map[string]*session)
	e.logs = make(map[attemptKey]*frameLog)
	e.cache = newPrefixCache(e.config.CachePrefixes)
	e.batches = newBatcher(e.config.MaxBatch, e.config.stepTime)
	e.listener = listener
	e.server = server
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// crash drops every connection and all state; the engine comes back with a new
// incarnation if its configuration says so.
func (e *Engine) crash() {
	e.mu.Lock()
	server := e.server
	e.server = nil
	if server == nil {
		e.mu.Unlock()
		return
	}
	e.batches.stop()
	e.sessions = make(map[string]*session)
	e.logs = make(map[attemptKey]*frameLog)
	e.life++
	e.mu.Unlock()
	_ = server.Close()
	if e.config.RestartMs > 0 {
		time.AfterFunc(time.Duration(e.config.RestartMs)*time.Millisecond, func() { _ = e.up() })
	}
}

// silence makes every open connection to the engine silent.
func (e *Engine) silence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener != nil {
		e.listener.Silence()
	}
}

func (e *Engine) setLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// prepare makes the engine ready for its part of an attempt. Preparing the same
// attempt twice changes nothing.
func (e *Engine) prepare(start *tamarackv1.StartRequest, position int) error {
	hop := start.Chain[position]
	if err := e.holds(start, hop); err != nil {
		return err
	}
	s, fresh, hit, err := e.openSession(start, position)
	if err != nil {
		return err
	}
	if fresh {
		e.rebuild(start, hit)
		close(s.built)
	}
	<-s.built
	return nil
}

// openSession registers the engine's part of an attempt; fresh is true when its
// state has to be built, hit when the cache holds the prompt's prefix.
func (e *Engine) openSession(start *tamarackv1.StartRequest, position int) (s *session, fresh, hit bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.sessions[start.RequestId]
	if old != nil && old.start.Attempt == start.Attempt {
		return old, false, false, nil
	}
	if old != nil && old.start.Attempt > start.Attempt {
		return nil, false, false, errors.Newf("attempt %d is not newer than %d", start.Attempt, old.start.Attempt)
	}
	rebuild := start.Chain[position].Rebuild
	if old == nil && !rebuild {
		return nil, false, false, errors.Newf("no state of request %s to go on with", start.RequestId)
	}
	s = &session{start: start, position: position, next: uint32(len(start.Tokens)), built: make(chan struct{})}
	if !rebuild {
		s.built = old.built
	}
	e.sessions[start.RequestId] = s
	if old != nil {
		delete(e.logs, attemptKey{request: start.RequestId, attempt: old.start.Attempt})
	}
	return s, rebuild, e.cache.use(start.PrefixKey), nil
}

func (e *Engine) holds(start *tamarackv1.StartRequest, hop *tamarackv1.Hop) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if hop.Incarnation != e.life {
		return errors.Newf("is incarnation %d, not %d", e.life, hop.Incarnation)
	}
	want := model.LayerRange{First: hop.Layers.First, End: hop.Layers.End}
	if start.Model != e.model || model.ModelVersion(start.Version) != e.version || want != e.layers {
		return errors.Newf("holds %s %s %s, not %s %s %s", e.model, e.version, e.layers, start.Model, start.Version, want)
	}
	return nil
}

// rebuild takes the time to compute the prompt and the tokens so far over the
// held layers.
func (e *Engine) rebuild(start *tamarackv1.StartRequest, hit bool) {
	bytes := len(start.Prompt)
	if hit {
		bytes = 0
	}
	for _, token := range start.Tokens {
		bytes += len(token)
	}
	steps := (bytes + prefillBytes - 1) / prefillBytes
	time.Sleep(time.Duration(steps) * e.config.stepTime())
	e.host.logRebuild(e, start)
}

// step runs one token over the held layers and passes it on.
func (e *Engine) step(request *tamarackv1.StepRequest) error {
	e.mu.Lock()
	s, ok := e.sessions[request.RequestId]
	if !ok || s.start.Attempt != request.Attempt {
		e.mu.Unlock()
		return errors.Newf("no attempt %d of request %s", request.Attempt, request.RequestId)
	}
	if request.Index != s.next {
		e.mu.Unlock()
		return nil
	}
	s.next++
	batches := e.batches
	e.mu.Unlock()
	batches.add(s.start.Priority, func() { e.ran(s, request) })
	return nil
}

// ran goes on once a step's batch is done.
func (e *Engine) ran(s *session, request *tamarackv1.StepRequest) {
	if marker := e.config.PoisonMarker; marker != "" && strings.Contains(s.start.Prompt, marker) {
		e.crash()
		return
	}
	if !e.holdsSession(s) {
		return
	}
	receipt := &tamarackv1.Receipt{TargetId: e.config.ID, Layers: s.hop().Layers, Version: s.start.Version}
	receipts := append(append([]*tamarackv1.Receipt(nil), request.Receipts...), receipt)
	e.host.logStep(e, s, request)
	if request.Index+1 >= s.start.MaxTokens {
		e.dropSession(s)
	}
	if !s.isLast() {
		e.forward(s, s.start.Chain[s.position+1], &tamarackv1.StepRequest{
			RequestId: request.RequestId, Attempt: request.Attempt, Index: request.Index,
			Position: request.Position + 1, Receipts: receipts,
		})
		return
	}
	last := request.Index+1 >= s.start.MaxTokens
	e.emit(s, &tamarackv1.CollectResponse{
		RequestId: request.RequestId, Attempt: request.Attempt, Index: request.Index,
		Text: TokenText(s.start.Prompt, s.start.Version, request.Index), Receipts: receipts, Last: last,
	})
	if !last {
		e.forward(s, s.first(), &tamarackv1.StepRequest{
			RequestId: request.RequestId, Attempt: request.Attempt, Index: request.Index + 1,
		})
	}
}

// TokenText is the token that the stand-in model gives at an index, so that
// anyone can tell whether an answer is complete and correct.
func TokenText(prompt, version string, index uint32) string {
	digest := fnv.New32a()
	_, _ = fmt.Fprintf(digest, "%s\x00%s\x00%d", prompt, version, index)
	return fmt.Sprintf("%08x", digest.Sum32())
}

func (e *Engine) holdsSession(s *session) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.server != nil && e.sessions[s.start.RequestId] == s
}

func (e *Engine) dropSession(s *session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sessions[s.start.RequestId] == s {
		delete(e.sessions, s.start.RequestId)
	}
}

// frameLogLife is how long the frames of an attempt that has ended, or whose
// start never came, can be collected.
const frameLogLife = 30 * time.Second

func (e *Engine) frameLog(key attemptKey) *frameLog {
	e.mu.Lock()
	defer e.mu.Unlock()
	log, ok := e.logs[key]
	if !ok {
		log = newFrameLog()
		e.logs[key] = log
		time.AfterFunc(frameLogLife, func() { e.expireLog(key, log) })
	}
	return log
}

// expireLog removes the frames of an attempt unless it is still running.
func (e *Engine) expireLog(key attemptKey, log *frameLog) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.logs[key] != log {
		return
	}
	if s, ok := e.sessions[key.request]; ok && s.start.Attempt == key.attempt {
		time.AfterFunc(frameLogLife, func() { e.expireLog(key, log) })
		return
	}
	delete(e.logs, key)
}

// cancel drops the state of every attempt of a request up to the given one.
func (e *Engine) cancel(request string, attempt uint32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.sessions[request]; ok && s.start.Attempt <= attempt {
		delete(e.sessions, request)
		delete(e.logs, attemptKey{request: request, attempt: s.start.Attempt})
	}
	delete(e.logs, attemptKey{request: request, attempt: attempt})
}

func (e *Engine) emit(s *session, frame *tamarackv1.CollectResponse) {
	e.frameLog(attemptKey{request: s.start.RequestId, attempt: s.start.Attempt}).add(frame)
}
