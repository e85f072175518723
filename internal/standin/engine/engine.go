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

	mu            sync.Mutex
	incarnation   uint64
	model         string
	version       model.ModelVersion
	layers        model.LayerRange
	fencingNumber uint64
	leaving       bool
	sessions      map[string]*session
	frameLogs     map[attemptKey]*frameLog
	cache         *prefixCache
	queue         *batcher
	listener      *control.SilentListener
	server        *http.Server
}

// newEngine returns an engine whose server is not started.
func newEngine(config Config, host *Host) *Engine {
	return &Engine{
		config: config, host: host, incarnation: max(config.Incarnation, 1),
		model: config.Model, version: config.Version, layers: config.Layers,
	}
}

// startServer starts to serve requests, with empty state.
func (e *Engine) startServer() error {
	listener, err := control.Listen(e.config.Address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(tamarackv1connect.NewEngineServiceHandler(e, connect.WithCompressMinBytes(compressMinBytes)))
	server := rpc.NewServer(mux)
	e.mu.Lock()
	e.sessions = make(map[string]*session)
	e.frameLogs = make(map[attemptKey]*frameLog)
	e.cache = newPrefixCache(e.config.CachePrefixes)
	e.queue = newBatcher(e.config.MaxBatch, e.config.stepTime)
	e.listener = listener
	e.server = server
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// crash closes every connection and discards all state. The engine restarts with
// a new incarnation after RestartMs, if that is not 0.
func (e *Engine) crash() {
	e.mu.Lock()
	server := e.server
	e.server = nil
	if server == nil {
		e.mu.Unlock()
		return
	}
	e.queue.stop()
	e.sessions = make(map[string]*session)
	e.frameLogs = make(map[attemptKey]*frameLog)
	e.incarnation++
	e.mu.Unlock()
	_ = server.Close()
	if e.config.RestartMs > 0 {
		time.AfterFunc(time.Duration(e.config.RestartMs)*time.Millisecond, func() { _ = e.startServer() })
	}
}

// silence blackholes every open connection to the engine.
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

// prepare opens the engine's session of an attempt and waits until its state is
// built. Preparing the same attempt twice has no effect.
func (e *Engine) prepare(start *tamarackv1.StartRequest, position int) error {
	hop := start.Chain[position]
	if err := e.checkHop(start, hop); err != nil {
		return err
	}
	s, needsRebuild, cacheHit, err := e.openSession(start, position)
	if err != nil {
		return err
	}
	if needsRebuild {
		e.rebuild(start, cacheHit)
		close(s.built)
	}
	<-s.built
	return nil
}

// openSession registers the engine's session of an attempt. needsRebuild is true
// if its state must be built, cacheHit if the prompt's prefix is cached.
func (e *Engine) openSession(start *tamarackv1.StartRequest, position int) (s *session, needsRebuild, cacheHit bool, err error) {
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
	s = &session{start: start, position: position, nextIndex: uint32(len(start.Tokens)), built: make(chan struct{})}
	if !rebuild {
		s.built = old.built
	}
	e.sessions[start.RequestId] = s
	if old != nil {
		delete(e.frameLogs, attemptKey{request: start.RequestId, attempt: old.start.Attempt})
	}
	return s, rebuild, e.cache.touch(start.PrefixKey), nil
}

// checkHop checks that a hop names the engine's incarnation, model, version and
// layers.
func (e *Engine) checkHop(start *tamarackv1.StartRequest, hop *tamarackv1.Hop) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if hop.Incarnation != e.incarnation {
		return errors.Newf("is incarnation %d, not %d", e.incarnation, hop.Incarnation)
	}
	want := model.LayerRange{First: hop.Layers.First, End: hop.Layers.End}
	if start.Model != e.model || model.ModelVersion(start.Version) != e.version || want != e.layers {
		return errors.Newf("holds %s %s %s, not %s %s %s", e.model, e.version, e.layers, start.Model, start.Version, want)
	}
	return nil
}

// rebuild takes the time of a prefill of the generated tokens, and of the prompt
// if it is not cached, over the engine's layers.
func (e *Engine) rebuild(start *tamarackv1.StartRequest, cacheHit bool) {
	bytes := len(start.Prompt)
	if cacheHit {
		bytes = 0
	}
	for _, token := range start.Tokens {
		bytes += len(token)
	}
	steps := (bytes + prefillBytes - 1) / prefillBytes
	time.Sleep(time.Duration(steps) * e.config.stepTime())
	e.host.logRebuild(e, start)
}

// step queues the decode step of one token. It ignores a repeated step, whose
// index is not the next one.
func (e *Engine) step(request *tamarackv1.StepRequest) error {
	e.mu.Lock()
	s, ok := e.sessions[request.RequestId]
	if !ok || s.start.Attempt != request.Attempt {
		e.mu.Unlock()
		return errors.Newf("no attempt %d of request %s", request.Attempt, request.RequestId)
	}
	if request.Index != s.nextIndex {
		e.mu.Unlock()
		return nil
	}
	s.nextIndex++
	queue := e.queue
	e.mu.Unlock()
	queue.enqueue(s.start.Priority, func() { e.finishStep(s, request) })
	return nil
}

// finishStep continues an attempt once the batch of its step has run: it forwards
// the step to the next engine, or emits the token and starts the next step.
func (e *Engine) finishStep(s *session, request *tamarackv1.StepRequest) {
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

// TokenText returns the stand-in model's token at an index. It is deterministic,
// so that a caller can check whether an answer is complete and correct.
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

// frameLogTTL is how long frames can be collected for an attempt that has ended or
// was never started.
const frameLogTTL = 30 * time.Second

// frameLog returns the frame log of an attempt and creates it if it is absent.
func (e *Engine) frameLog(key attemptKey) *frameLog {
	e.mu.Lock()
	defer e.mu.Unlock()
	log, ok := e.frameLogs[key]
	if !ok {
		log = newFrameLog()
		e.frameLogs[key] = log
		time.AfterFunc(frameLogTTL, func() { e.expireFrameLog(key, log) })
	}
	return log
}

// expireFrameLog removes the frame log of an attempt unless it is still running.
func (e *Engine) expireFrameLog(key attemptKey, log *frameLog) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frameLogs[key] != log {
		return
	}
	if s, ok := e.sessions[key.request]; ok && s.start.Attempt == key.attempt {
		time.AfterFunc(frameLogTTL, func() { e.expireFrameLog(key, log) })
		return
	}
	delete(e.frameLogs, key)
}

// cancel discards the state of every attempt of a request up to the given one.
func (e *Engine) cancel(request string, attempt uint32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.sessions[request]; ok && s.start.Attempt <= attempt {
		delete(e.sessions, request)
		delete(e.frameLogs, attemptKey{request: request, attempt: s.start.Attempt})
	}
	delete(e.frameLogs, attemptKey{request: request, attempt: attempt})
}

func (e *Engine) emit(s *session, frame *tamarackv1.CollectResponse) {
	e.frameLog(attemptKey{request: s.start.RequestId, attempt: s.start.Attempt}).add(frame)
}
