package once_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/fault"
	"tamarackreach/internal/model"
	"tamarackreach/internal/once"
	"tamarackreach/internal/standin/platform"
	"tamarackreach/internal/timer"
)

// chooser walks every sequence of choices, depth first: each run replays a
// prefix and takes the first option from there on.
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

// next moves to the next sequence; false when all were walked.
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

// node is one entry VM with its ledger, timers and what is under way for it.
type node struct {
	name    string
	ledger  *once.Ledger
	context decision.Context
	effects []event.Effect
	begun   []model.RequestID
	dead    bool
}

// world is a table, a service and nodes. Every message is one choice.
type world struct {
	choose *chooser
	now    model.Instant
	table  *platform.Table
	nodes  []*node
	late   []event.Transact
	faults int
	runs   map[model.RequestID]int
	told   map[model.RequestID]event.Effect
	trace  []string
	// body is the answer of the service; empty stands for the request's name.
	body []byte
	// transactions is the number of transactions sent.
	transactions int
}

func newWorld(choose *chooser, faults int) *world {
	return &world{
		choose: choose, table: platform.NewTable(), faults: faults,
		runs: make(map[model.RequestID]int), told: make(map[model.RequestID]event.Effect),
	}
}

func (w *world) addNode(name string) *node {
	n := &node{name: name, ledger: once.New(model.NodeID(name), 1), context: decision.Context{
		Timers: timer.New(), Rand: rand.New(rand.NewPCG(1, 1)),
	}}
	w.nodes = append(w.nodes, n)
	return n
}

// reduce runs one step of a node and takes in its effects.
func (w *world) reduce(n *node, step func(*decision.Context)) {
	c := &n.context
	c.Now, c.UnixMs, c.Effects = w.now, int64(w.now)/int64(time.Millisecond), nil
	step(c)
	for _, effect := range c.Effects {
		switch effect := effect.(type) {
		case event.AnswerCall:
			w.tell(effect.Request, effect)
		case event.RefuseRequest:
			w.tell(effect.Request, effect)
		case event.Transact:
			w.transactions++
			n.effects = append(n.effects, effect)
		default:
			n.effects = append(n.effects, effect)
		}
	}
}

func (w *world) tell(id model.RequestID, effect event.Effect) {
	if _, twice := w.told[id]; twice {
		panic(fmt.Sprint("answered twice: ", id))
	}
	w.told[id] = effect
}

func (w *world) begin(n *node, id model.RequestID) {
	n.begun = append(n.begun, id)
	w.reduce(n, func(c *decision.Context) {
		n.ledger.Begin(c, &once.Call{
			Request: id, Workspace: "w", Service: "s", Method: "m", Key: "k", Body: []byte("b"),
			Deadline: c.Now.Add(callDeadline),
		})
	})
}

// fireDue fires the timers that are due. The next one is looked up at the present
// instant, so that a timer set again for later does not fire in the same step.
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

func (n *node) take(c *decision.Context, ev event.Event) {
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
		n.ledger.Answered(c, ev)
	case event.CallCut:
		n.ledger.Cut(c, ev)
	}
}

// option is one thing that may happen next.
type option struct {
	node  string
	name  string
	fault bool
	do    func()
}

// step lets one of the possible things happen; false when nothing is left.
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
	chosen.do()
	return true
}

func (w *world) options() []option {
	var options []option
	for _, n := range w.nodes {
		if !n.dead {
			options = append(options, w.nodeOptions(n)...)
		}
	}
	for i, effect := range w.late {
		options = append(options, option{"table", "late write takes effect", false, func() {
			w.late = slices.Delete(w.late, i, i+1)
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
				w.reduce(n, func(c *decision.Context) { n.take(c, ev) })
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
		add("tick", false, func() {
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
	add("write late", true, post(func() event.Event {
		w.late = append(w.late, effect)
		return unknown
	}))
	add("write refused", true, post(func() event.Event {
		return event.TransactionUnknown{Transaction: effect.Transaction, NotSent: true}
	}))
}

func (w *world) callOptions(effect event.SendCall, post post, add func(string, bool, func())) {
	id := effect.Request
	if w.now >= effect.Deadline {
		add("driver finds the deadline passed", false, post(func() event.Event { return event.CallCut{Request: id} }))
		return
	}
	add("run", false, post(func() event.Event {
		w.runs[id]++
		return event.CallAnswered{Request: id, Body: w.answerTo(id)}
	}))
	add("run, cut", true, post(func() event.Event {
		w.runs[id]++
		return event.CallCut{Request: id, BytesLeft: true}
	}))
	add("cut before bytes left", true, post(func() event.Event { return event.CallCut{Request: id} }))
}

func (w *world) answerTo(id model.RequestID) []byte {
	if w.body != nil {
		return w.body
	}
	return []byte(id)
}

// crash ends a node; what it sent last may still take effect.
func (w *world) crash(n *node) {
	n.dead = true
	for _, effect := range n.effects {
		switch effect := effect.(type) {
		case event.Transact:
			w.late = append(w.late, effect)
		case event.SendCall:
			if w.choose.pick(2) == 1 {
				w.runs[effect.Request]++
			}
		}
	}
}

// advance moves to the next timer of a node; false when there is none.
func (w *world) advance() bool {
	found := false
	var earliest model.Instant
	for _, n := range w.nodes {
		if next, ok := n.context.Timers.Next(); ok && !n.dead && (!found || next < earliest) {
			found, earliest = true, next
		}
	}
	w.now = max(w.now, earliest)
	return found
}

// check returns what is wrong with the end of a walk.
func (w *world) check(repeat model.RequestID) string {
	total := 0
	for id, runs := range w.runs {
		total += runs
		refusal, refused := w.told[id].(event.RefuseRequest)
		if refused && refusal.Fault.Kind == fault.NotRun {
			return fmt.Sprintf("%s ran and was told %s", id, refusal.Fault.Error())
		}
	}
	if total > 1 {
		return fmt.Sprint("runs: ", total)
	}
	if missing := w.unanswered(); missing != "" {
		return missing
	}
	var body string
	for id, told := range w.told {
		done, ok := told.(event.AnswerCall)
		if ok && body != "" && body != string(done.Body) {
			return fmt.Sprintf("%s was told another outcome", id)
		}
		if ok {
			body = string(done.Body)
		}
	}
	return w.checkRepeat(repeat, total, body)
}

// unanswered returns which call of a living node got no answer.
func (w *world) unanswered() string {
	for _, n := range w.nodes {
		for _, id := range n.begun {
			if _, told := w.told[id]; !told && !n.dead {
				return fmt.Sprintf("%s got no answer", id)
			}
		}
	}
	return ""
}

// readFromTable is true when a repeat was told the outcome of an earlier call.
func (w *world) readFromTable() bool {
	for _, told := range w.told {
		if done, ok := told.(event.AnswerCall); ok && done.Recorded {
			return true
		}
	}
	return false
}

// checkRepeat looks at the last repeat, made when all failures are over.
func (w *world) checkRepeat(repeat model.RequestID, total int, body string) string {
	crashed := slices.ContainsFunc(w.nodes, func(n *node) bool { return n.dead })
	switch told := w.told[repeat].(type) {
	case event.AnswerCall:
		return ""
	case event.RefuseRequest:
		if told.Fault.Kind != fault.InDoubt {
			return "the last repeat was told " + told.Fault.Error()
		}
		if total == 0 && !crashed {
			return "nothing ran, yet the key is not free: " + told.Fault.Error()
		}
		if body != "" && (!crashed || w.readFromTable()) {
			return "the recorded outcome is lost: " + told.Fault.Error()
		}
		return ""
	}
	return "the last repeat got no answer"
}
