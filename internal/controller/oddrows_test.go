package controller

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/ingress"
	"tamarackreach/internal/model"
	"tamarackreach/internal/placement"
	"tamarackreach/platform"
	"tamarackreach/platform/platformtest"
)

// registration returns a valid registration of the service llm with some fields replaced; a
// nil value removes the field.
func registration(change map[string]any) map[string]any {
	row := map[string]any{
		"service": "llm", "address": "127.0.0.1:9000", "zone": "a", "slots": 10, "state": "ready", "kind": "k", "sequence": 1, "born": 1,
		"layers": map[string]any{"from": 0, "to": 8, "version": 1},
	}
	for name, value := range change {
		row[name] = value
		if value == nil {
			delete(row, name)
		}
	}
	return row
}

// nestedText stands for a very deeply nested value in the rows below.
const nestedText = "very deeply nested"

// oddRegistrations returns the texts of registrations that another writer may leave.
func oddRegistrations() map[string][]byte {
	nested := strings.Repeat("[", 60000) + strings.Repeat("]", 60000)
	out := map[string][]byte{}
	for name, row := range oddFields() {
		text, err := json.Marshal(row)
		if err != nil {
			panic(err)
		}
		out[name] = []byte(strings.ReplaceAll(string(text), `"`+nestedText+`"`, nested))
	}
	for _, text := range []string{"", "{", "\xff\xfe", `{"slots":1}{}`, "[]"} {
		out[fmt.Sprintf("%q", text)] = []byte(text)
	}
	return out
}

func oddFields() map[string]any {
	layers := func(from, to any) map[string]any {
		return map[string]any{"layers": map[string]any{"from": from, "to": to}}
	}
	out := map[string]any{
		"very deeply nested": nestedText, "a number": 7, "a text": "ready", "null": nil, "empty": map[string]any{},
		"layers beyond the model":           registration(layers(200, 300)),
		"layers that begin at its end":      registration(layers(8, 9)),
		"layers without end":                registration(layers(0, uint32(math.MaxUint32))),
		"layers that end before they begin": registration(layers(5, 2)),
		"layers of another type":            registration(map[string]any{"layers": "all"}),
		"more layers than its memory":       registration(map[string]any{"kind": "small"}),
		"layers on unknown hardware":        registration(map[string]any{"kind": "z"}),
		"deeply nested layers":              registration(map[string]any{"layers": nestedText}),
		"no slots":                          registration(map[string]any{"slots": nil}),
		"negative slots":                    registration(map[string]any{"slots": -1}),
		"a fraction of a slot":              registration(map[string]any{"slots": 0.5}),
		"born before all":                   registration(map[string]any{"born": -1}),
		"no state":                          registration(map[string]any{"state": nil}),
		"state of another type":             registration(map[string]any{"state": 5}),
		"no zone":                           registration(map[string]any{"zone": nil}),
	}
	for _, number := range []string{"1e400", "1e30", "18446744073709551616"} {
		for _, field := range []string{"slots", "born", "layers"} {
			out[field+" "+number] = registration(map[string]any{field: json.RawMessage(number)})
		}
		out["end of layers "+number] = registration(layers(0, json.RawMessage(number)))
	}
	for _, address := range []string{"", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:http", "host:80", ":80", "127.0.0.1:80=0-8,127.0.0.1:81", "127.0.0.1:80\r\nX: y", "[::1%lo]:80"} {
		out["address "+fmt.Sprintf("%q", address)] = registration(map[string]any{"address": address})
	}
	return out
}

// oddConfig is the stand-ins' configuration with a kind of target whose memory holds no layer.
func oddConfig() map[string]any {
	c := platformtest.Config(1, "key")
	engine := c["services"].([]map[string]any)[0]["engine"].(map[string]any)
	engine["kinds"] = append(engine["kinds"].([]map[string]any), map[string]any{"name": "small", "size-mb": 15, "pace": 0.1, "read-x": 0.1})
	return c
}

// Guards against processes that end again and again, and targets that get requests or layers
// that they cannot hold, because another writer left an odd row among the registrations.
var _ = Describe("an odd registration", func() {
	arrive := func(c *Controller, id int) director.Effect {
		effects := c.reducer.Step(director.RequestArrived{Request: &fleet.Request{
			ID: model.RequestID(fmt.Sprint("q", id)), Method: "POST", Host: "h", Path: "/s/x", Key: "key", HasKey: true, Deadline: 10 * time.Second, PromptTokens: 10, AnswerTokens: 10,
		}, Random: 0.5})
		return effects[len(effects)-1]
	}
	plan := func(c *Controller) (placeable []director.Placeable) {
		c.reducer.Read(func(s *director.State) { placeable = s.Placeable(bootclock.Now()) })
		for _, p := range placeable {
			var members []placement.Member
			for _, t := range p.Targets {
				members = append(members, placement.Member{ID: t.ID, Zone: t.Zone, Kind: t.Kind, Held: t.Held, Slowdown: p.Slowness[t.ID]})
			}
			placement.Plan(p.Engine, members)
		}
		return placeable
	}

	for name, row := range oddRegistrations() {
		It("gets no request and no layers, and the others are used: "+name, func() {
			f := newCopyFixture()
			f.firstStart = true
			Expect(f.store.Put("op", "config", oddConfig())).To(Succeed())
			f.store.PutText("servers", "a-odd", row)
			Expect(f.store.Put("servers", "c-empty", registration(map[string]any{"layers": nil, "address": "127.0.0.1:9002"}))).To(Succeed())
			source, follower := f.start("vm-1"), f.start("vm-2")
			f.readAll(source)
			f.takeAll(follower, source)
			for i, c := range []*Controller{source, follower} {
				Expect(plan(c)[0].Targets).To(HaveLen(1), "the empty one")
				Expect(arrive(c, i)).To(BeAssignableToTypeOf(&director.Refuse{}))
			}
			Expect(f.store.Put("servers", "b-good", registration(map[string]any{"address": "127.0.0.1:9001"}))).To(Succeed())
			f.readAll(source)
			f.takeAll(follower, source)
			for i, c := range []*Controller{source, follower} {
				Expect(plan(c)[0].Targets).To(HaveLen(2))
				send, ok := arrive(c, 10+i).(*director.Send)
				Expect(ok).To(BeTrue())
				Expect(send.Hops[0].Target).To(BeEquivalentTo("b-good"))
			}
		})
	}
})

// FuzzRegistration has a VM apply any registration beside a good one, plan the placement and
// choose a path: it must not panic, and the good one stays in use. Run it with
// go test -fuzz FuzzRegistration ./internal/controller.
func FuzzRegistration(f *testing.F) {
	for _, row := range oddRegistrations() {
		f.Add(row)
	}
	text, err := json.Marshal(oddConfig())
	if err != nil {
		f.Fatal(err)
	}
	config, err := platform.DecodeConfig(text)
	if err != nil {
		f.Fatal(err)
	}
	good, err := json.Marshal(registration(map[string]any{"address": "127.0.0.1:9001"}))
	if err != nil {
		f.Fatal(err)
	}
	empty, err := json.Marshal(registration(map[string]any{"layers": nil, "address": "127.0.0.1:9002"}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Fuzz(func(t *testing.T, row []byte) { applyAnyRegistration(t, config, row, good, empty) })
}

func applyAnyRegistration(t *testing.T, config *fleet.Config, row, good, empty []byte) {
	t.Helper()
	reducer := ingress.NewReducer(director.New(director.Settings{VM: "vm-9", Zone: "a", FirstStart: true}))
	reducer.Step(director.ConfigRead{Config: config, Started: bootclock.Now()})
	c := &Controller{reducer: reducer}
	for i := range c.tables {
		c.tables[i] = newTable(i)
	}
	version := fleet.StoreVersion{Row: 2}
	c.tables[targetsTable].replace(0, platform.Snapshot{
		Rows: []fleet.StoreRow{
			{Key: "a-odd", Value: row, Version: version}, {Key: "b-good", Value: good, Version: version}, {Key: "c-empty", Value: empty, Version: version},
		}, Newest: version,
	}, bootclock.Now())
	c.applyTargets()
	expectUsable(t, reducer, row, func(*placement.Member) {})
}

// expectUsable plans the placement, with the members changed, and chooses a path.
func expectUsable(t *testing.T, reducer *ingress.Reducer, input []byte, change func(*placement.Member)) {
	t.Helper()
	var placeable []director.Placeable
	reducer.Read(func(s *director.State) { placeable = s.Placeable(bootclock.Now()) })
	found := false
	for _, p := range placeable {
		var members []placement.Member
		for _, target := range p.Targets {
			found = found || target.ID == "b-good"
			m := placement.Member{ID: target.ID, Zone: target.Zone, Kind: target.Kind, Held: target.Held, Slowdown: p.Slowness[target.ID]}
			change(&m)
			members = append(members, m)
		}
		for _, order := range placement.Plan(p.Engine, members) {
			if order.Layers.Len() == 0 || order.Layers.End > p.Engine.Layers {
				t.Fatalf("%q: order %+v", input, order)
			}
		}
	}
	if !found {
		t.Fatalf("%q made the VM lose another target", input)
	}
	effects := reducer.Step(director.RequestArrived{Request: &fleet.Request{
		ID: "q", Method: "POST", Host: "h", Path: "/s/x", Key: "key", HasKey: true, Deadline: 10 * time.Second, PromptTokens: 10, AnswerTokens: 10,
	}, Random: 0.5})
	if _, ok := effects[len(effects)-1].(*director.Send); !ok {
		t.Fatalf("%q beside a good target: %#v", input, effects[len(effects)-1])
	}
}

// FuzzTargetReport has a VM apply any report of a target beside a good one, plan with the layers
// that the report states, and choose a path. Run it with
// go test -fuzz FuzzTargetReport ./internal/controller.
func FuzzTargetReport(f *testing.F) {
	for _, text := range []string{
		`{"layers":{"from":200,"to":300},"pace":1}`, `{"layers":{"from":0,"to":4294967295},"pace":1e308}`, `{"pace":-1e308,"born":-1,"stalled":[{"address":"127.0.0.1:9001"}]}`,
		`{"layers":{"from":8,"to":8},"kv-used":-1,"running":-9,"queued":9223372036854775807,"sequence":18446744073709551615,"born":1,"pace":0}`, `{"born":9223372036854775807}`,
	} {
		f.Add([]byte(text))
	}
	text, err := json.Marshal(oddConfig())
	if err != nil {
		f.Fatal(err)
	}
	config, err := platform.DecodeConfig(text)
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		report, err := platform.DecodeReport(text)
		if err != nil {
			return
		}
		reducer := ingress.NewReducer(director.New(director.Settings{VM: "vm-9", Zone: "a", FirstStart: true}))
		reducer.Step(director.ConfigRead{Config: config, Started: bootclock.Now()})
		read := director.TargetsRead{Rows: map[model.TargetID]fleet.StoreVersion{}}
		for i, id := range []model.TargetID{"a-odd", "b-good", "c-empty"} {
			target := &fleet.Target{ID: id, Service: "llm", Address: fmt.Sprint("127.0.0.1:", 9000+i), Zone: "a", State: fleet.TargetReady, Slots: 10, Kind: "k", Held: model.LayerRange{End: 8}, StartedMs: 1}
			if id == "c-empty" {
				target.Held = model.LayerRange{}
			}
			read.Targets = append(read.Targets, target)
		}
		reducer.Step(read)
		reducer.Step(director.ReportRead{Target: "a-odd", Report: report})
		expectUsable(t, reducer, text, func(m *placement.Member) {
			if m.ID == "a-odd" {
				m.Held, m.Fixed = report.Held, true
			}
		})
	})
}
