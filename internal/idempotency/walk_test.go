package idempotency_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/fault"
	"tamarackreach/internal/idempotency"
	"tamarackreach/internal/model"
	"tamarackreach/internal/standin/platform"
	"tamarackreach/internal/timer"
)

// chooser enumerates all sequences of choices depth first: each run replays a prefix
// and then takes the first option of every choice. With random set, it chooses at
// random instead.
type chooser struct {
	taken, widths []int
	at            int
	random        *rand.Rand
}

func (c *chooser) pick(options int) int {
	if c.random != nil {
		return c.random.IntN(options)
	}
	if c.at == len(c.taken) {
		c.taken = append(c.taken, 0)
		c.widths = append(c.widths, options)
	}
	c.at++
	return c.taken[c.at-1]
}

// next advances to the next sequence. It returns false after the last one.
func (c *chooser) next() bool {
	c.at = 0
	for last := len(c.taken) - 1; last >= 0; last-- {
		if c.taken[last]+1 < c.widths[last] {
			c.taken[last]++
			c.taken, c.widths = c.taken[:last+1], c.widths[:last+1]
			return true
		}
	}
	return false
}

const callDeadline = time.Second

// node is one entry VM with its ledger, its timers and its effects in flight.
type node struct {
	name       string
	ledger     *idempotency.Ledger
	context    decision.Context
	effects    []event.Effect
	begunCalls []model.RequestID
	crashed    bool
}

// world simulates a table, a service and nodes. The chooser decides which of the
// possible messages, failures and timers comes next.
type world struct {
	choose        *chooser
	now           model.Instant
	table         *platform.Table
	nodes         []*node
	delayedWrites []event.Transact
	faults        int
	runs          map[model.RequestID]int
	answered      map[model.RequestID]event.Effect
	trace         []string
	// body is the response of the service; if nil, it responds with the request ID.
	body []byte
	// transactions is the number of transactions sent.
	transactions int
}

func newWorld(choose *chooser, faults int) *world {
	return &world{
		choose: choose, table: platform.NewTable(), faults: faults,
		runs: make(map[model.RequestID]int), answered: make(map[model.RequestID]event.Effect),
	}
}

func (w *world) addNode(name string) *node {
	n := &node{name: name, ledger: idempotency.New(model.NodeID(name), 1), context: decision.Context{
		Timers: timer.New(), Rand: rand.New(rand.NewPCG(1, 1)),
	}}
	w.nodes = append(w.nodes, n)
	return n
}

// reduce runs one step of a node and collects its effects.
func (w *world) reduce(n *node, step func(*decision.Context)) {
	c := &n.context
	c.Now, c.UnixMs, c.Effects = w.now, int64(w.now)/int64(time.Millisecond), nil
	step(c)
	for _, effect := range c.Effects {
		switch effect := effect.(type) {
		case event.AnswerCall:
			w.recordAnswer(effect.Request, effect)
		case event.RefuseRequest:
			w.recordAnswer(effect.Request, effect)
		case event.Transact:
			w.transactions++
			n.effects = append(n.effects, effect)
		default:
			n.effects = append(n.effects, effect)
		}
	}
}

func (w *world) recordAnswer(id model.RequestID, effect event.Effect) {
	if _, twice := w.answered[id]; twice {
		panic(fmt.Sprint("answered twice: ", id))
	}
	w.answered[id] = effect
}

func (w *world) begin(n *node, id model.RequestID) {
	n.begunCalls = append(n.begunCalls, id)
	w.reduce(n, func(c *decision.Context) {
		n.ledger.Begin(c, &idempotency.Call{
			Request: id, Workspace: "w", Service: "s", Method: "m", Key: "k", Body: []byte("b"),
			Deadline: c.Now.Add(callDeadline),
		})
	})
}

// fireDue fires the timers that are due. The next one is looked up at the current
// time, so that a timer that is set again for later does not fire in the same step.
func (w *world) fireDue(n *node, c *decision.Context) {
	for key, ok := c.Timers.PopDue(c.Now); ok; key, ok = c.Timers.PopDue(c.Now) {
		n.fire(c, key)
	}
}

func (n *node) fire(c *decision.Context, key timer.Key) {
	switch key.Kind {
	case timer.CallDeadline:
		n.ledger.DeadlineDue(c, model.RequestID(key.ID))
	case timer.ClaimRead:
		n.ledger.ReadDue(c, key.ID)
	case timer.LedgerFlush:
		n.ledger.FlushDue(c)
	}
}

func (n *node) handle(c *decision.Context, ev event.Event) {
	switch ev := ev.(type) {
	case event.TransactionDone:
		n.ledger.TransactionDone(c, ev)
	case event.TransactionUnknown:
		n.ledger.TransactionUnknown(c, ev)
	case event.RowsRead:
		n.ledger.RowsRead(c, ev)
	case event.ReadFailed:
		n.ledger.ReadFailed(c, ev)
	case event.CallAnswered:
		n.ledger.HandleAnswer(c, ev)
	case event.CallCut:
		n.ledger.HandleCut(c, ev)
	}
}

// option is one possible next action of the simulation.
type option struct {
	node   string
	name   string
	fault  bool
	action func()
}

// step runs one of the possible actions, or advances the time if there is none. It
// returns false if nothing is left to run.
func (w *world) step() bool {
	options := w.options()
	if len(options) == 0 {
		return w.advance()
	}
	chosen := options[w.choose.pick(len(options))]
	if chosen.fault {
		w.faults--
	}
	w.trace = append(w.trace, chosen.node+": "+chosen.name)
	chosen.action()
	return true
}

func (w *world) options() []option {
	var options []option
	for _, n := range w.nodes {
		if !n.crashed {
			options = append(options, w.nodeOptions(n)...)
		}
	}
	for i, effect := range w.delayedWrites {
		options = append(options, option{"table", "delayed write takes effect", false, func() {
			w.delayedWrites = slices.Delete(w.delayedWrites, i, i+1)
			w.table.Transact(effect.Conditions, effect.Writes)
		}})
	}
	if w.faults <= 0 {
		options = slices.DeleteFunc(options, func(o option) bool { return o.fault })
	}
	return options
}

func (w *world) nodeOptions(n *node) []option {
	var options []option
	add := func(name string, isFault bool, do func()) {
		options = append(options, option{n.name, name, isFault, do})
	}
	if len(n.effects) > 0 {
		effect := n.effects[0]
		post := func(do func() event.Event) func() {
			return func() {
				n.effects = n.effects[1:]
				ev := do()
				w.reduce(n, func(c *decision.Context) { n.handle(c, ev) })
			}
		}
		switch effect := effect.(type) {
		case event.Transact:
			w.transactOptions(effect, post, add)
		case event.ReadRows:
			add("read", false, post(func() event.Event { return event.RowsRead{Read: effect.Read, Rows: w.table.Read(effect.Keys)} }))
			add("read fails", true, post(func() event.Event { return event.ReadFailed{Read: effect.Read} }))
		case event.SendCall:
			w.callOptions(effect, post, add)
		}
	}
	if next, ok := n.context.Timers.Next(); ok && next <= w.now {
		add("fire timers", false, func() {
			w.reduce(n, func(c *decision.Context) { w.fireDue(n, c) })
		})
	}
	if len(n.effects) > 0 {
		add("pause past the deadline", true, func() { w.now = w.now.Add(callDeadline + time.Millisecond) })
		add("crash", true, func() { w.crash(n) })
	}
	return options
}

type post = func(func() event.Event) func()

func (w *world) transactOptions(effect event.Transact, post post, add func(string, bool, func())) {
	unknown := event.TransactionUnknown{Transaction: effect.Transaction}
	add("write", false, post(func() event.Event {
		version, conflicts := w.table.Transact(effect.Conditions, effect.Writes)
		return event.TransactionDone{Transaction: effect.Transaction, Committed: len(conflicts) == 0, Version: version, Conflicts: conflicts}
	}))
	add("write, answer lost", true, post(func() event.Event {
		w.table.Transact(effect.Conditions, effect.Writes)
		return unknown
	}))
	add("write lost", true, post(func() event.Event { return unknown }))
	add("write delayed", true, post(func() event.Event {
		w.delayedWrites = append(w.delayedWrites, effect)
		return unknown
	}))
	add("write refused", true, post(func() event.Event {
		return event.TransactionUnknown{Transaction: effect.Transaction, NotSent: true}
	}))
}

func (w *world) callOptions(effect event.SendCall, post post, add func(string, bool, func())) {
	id := effect.Request
	if w.now >= effect.Deadline {
		add("deadline passed before the send", false, post(func() event.Event { return event.CallCut{Request: id} }))
		return
	}
	add("run", false, post(func() event.Event {
		w.runs[id]++
		return event.CallAnswered{Request: id, Body: w.responseBody(id)}
	}))
	add("run, cut", true, post(func() event.Event {
		w.runs[id]++
		return event.CallCut{Request: id, MaybeSent: true}
	}))
	add("cut before any byte was sent", true, post(func() event.Event { return event.CallCut{Request: id} }))
}

func (w *world) responseBody(id model.RequestID) []byte {
	if w.body != nil {
		return w.body
	}
	return []byte(id)
}

// crash stops a node. Its effects in flight may still take effect.
func (w *world) crash(n *node) {
	n.crashed = true
	for _, effect := range n.effects {
		switch effect := effect.(type) {
		case event.Transact:
			w.delayedWrites = append(w.delayedWrites, effect)
		case event.SendCall:
			if w.choose.pick(2) == 1 {
				w.runs[effect.Request]++
			}
		}
	}
}

// advance moves the time to the next timer of a node. It returns false if there is
// none.
func (w *world) advance() bool {
	found := false
	var earliest model.Instant
	for _, n := range w.nodes {
		if next, ok := n.context.Timers.Next(); ok && !n.crashed && (!found || next < earliest) {
			found, earliest = true, next
		}
	}
	w.now = max(w.now, earliest)
	return found
}

// check returns the violation found at the end of a run, or the empty string: a call
// that ran but was reported as not run, more than one run, a call without an answer,
// or different outcomes.
func (w *world) check(repeat model.RequestID) string {
	total := 0
	for id, runs := range w.runs {
		total += runs
		refusal, refused := w.answered[id].(event.RefuseRequest)
		if refused && refusal.Fault.Kind == fault.NotRun {
			return fmt.Sprintf("%s ran, but its caller received %s", id, refusal.Fault.Error())
		}
	}
	if total > 1 {
		return fmt.Sprint("runs: ", total)
	}
	if missing := w.unanswered(); missing != "" {
		return missing
	}
	var body string
	for id, answered := range w.answered {
		done, ok := answered.(event.AnswerCall)
		if ok && body != "" && body != string(done.Body) {
			return fmt.Sprintf("%s received a different outcome", id)
		}
		if ok {
			body = string(done.Body)
		}
	}
	return w.checkRepeat(repeat, total, body)
}

// unanswered returns the violation of a call without an answer on a node that has
// not crashed.
func (w *world) unanswered() string {
	for _, n := range w.nodes {
		for _, id := range n.begunCalls {
			if _, answered := w.answered[id]; !answered && !n.crashed {
				return fmt.Sprintf("%s got no answer", id)
			}
		}
	}
	return ""
}

// readFromTable reports whether a repeat received the recorded outcome of an earlier
// call.
func (w *world) readFromTable() bool {
	for _, answered := range w.answered {
		if done, ok := answered.(event.AnswerCall); ok && done.Recorded {
			return true
		}
	}
	return false
}

// checkRepeat returns the violation of the last repeat, which was sent after all
// failures.
func (w *world) checkRepeat(repeat model.RequestID, total int, body string) string {
	anyCrashed := slices.ContainsFunc(w.nodes, func(n *node) bool { return n.crashed })
	switch answered := w.answered[repeat].(type) {
	case event.AnswerCall:
		return ""
	case event.RefuseRequest:
		if answered.Fault.Kind != fault.InDoubt {
			return "the last repeat received " + answered.Fault.Error()
		}
		if total == 0 && !anyCrashed {
			return "no call ran, but the key is not free: " + answered.Fault.Error()
		}
		if body != "" && (!anyCrashed || w.readFromTable()) {
			return "the recorded outcome is lost: " + answered.Fault.Error()
		}
		return ""
	}
	return "the last repeat got no answer"
}
