package storereplica_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/internal/storereplica"
)

func TestStorereplica(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "storereplica")
}

const (
	start = model.Instant(time.Hour)
	era   = fleet.StoreEra(3)
)

func version(row int) fleet.StoreVersion {
	return fleet.StoreVersion{Era: era, Row: model.RowVersion(row)}
}

func row(key string, v int) fleet.StoreRow {
	return fleet.StoreRow{Key: key, Value: []byte(fmt.Sprint(key, v)), Version: version(v)}
}

func newTable(epoch uint64) *storereplica.Table {
	t := &storereplica.Table{}
	t.Reset(epoch, era)
	return t
}

func keys(t *storereplica.Table) map[string]int {
	out := map[string]int{}
	for _, r := range t.Rows() {
		out[r.Key] = int(r.Version.Row)
	}
	return out
}

var _ = Describe("a copy of a table", func() {
	It("reports changes of a read, and when it was confirmed", func() {
		t := newTable(1)
		Expect(t.Read()).To(BeFalse())
		changed, used := t.Replace([]fleet.StoreRow{row("a", 1), row("b", 2)}, version(2), start)
		Expect([]bool{changed, used}).To(Equal([]bool{true, true}))
		changed, used = t.Replace([]fleet.StoreRow{row("a", 1), row("b", 2)}, version(9), start.Add(time.Second))
		Expect([]bool{changed, used}).To(Equal([]bool{false, true}))
		Expect(t.ConfirmedAt()).To(Equal(start.Add(time.Second)))
		Expect(t.Version()).To(Equal(version(9)))
		changed, _ = t.Replace([]fleet.StoreRow{row("b", 2)}, version(10), start.Add(2*time.Second))
		Expect(changed).To(BeTrue())
		Expect(keys(t)).To(Equal(map[string]int{"b": 2}))
	})

	// Pattern: two reads are in flight, and the earlier one answers last.
	It("does not go back to an earlier read", func() {
		t := newTable(1)
		t.Replace([]fleet.StoreRow{row("a", 5)}, version(5), start.Add(time.Second))
		_, used := t.Replace([]fleet.StoreRow{row("a", 1)}, version(4), start)
		Expect(used).To(BeFalse())
		Expect(keys(t)).To(Equal(map[string]int{"a": 5}))
		Expect(t.ConfirmedAt()).To(Equal(start.Add(time.Second)))
	})

	It("uses nothing of another era, nor before its first reset", func() {
		t := newTable(1)
		other := fleet.StoreVersion{Era: era + 1, Row: 9}
		_, used := t.Replace([]fleet.StoreRow{{Key: "a", Version: other}}, other, start)
		Expect(used).To(BeFalse())
		Expect(t.ApplyFeed([]fleet.StoreRow{{Key: "a", Version: other}}, nil)).To(BeFalse())
		_, used = t.ApplyDelta(storereplica.Delta{Version: other}, start)
		Expect(used).To(BeFalse())
		Expect(t.Read()).To(BeFalse())
		_, used = (&storereplica.Table{}).Replace(nil, fleet.StoreVersion{}, start)
		Expect(used).To(BeFalse())
	})

	// Pattern: the feed is silent while changes are made, or omits some of them.
	It("is not confirmed by the feed, and the next read brings what the feed omitted", func() {
		t := newTable(1)
		t.Replace([]fleet.StoreRow{row("a", 1), row("b", 2)}, version(2), start)
		Expect(t.ApplyFeed([]fleet.StoreRow{row("a", 7)}, nil)).To(BeTrue())
		Expect(t.ConfirmedAt()).To(Equal(start))
		Expect(t.Version()).To(Equal(version(2)))
		changed, _ := t.Replace([]fleet.StoreRow{row("a", 7), row("b", 5)}, version(8), start.Add(time.Second))
		Expect(changed).To(BeTrue())
		Expect(keys(t)).To(Equal(map[string]int{"a": 7, "b": 5}))
	})

	It("keeps a row of the feed that a read from before lacks", func() {
		t := newTable(1)
		t.Replace(nil, version(2), start)
		t.ApplyFeed([]fleet.StoreRow{row("a", 5)}, nil)
		t.Replace(nil, version(4), start.Add(time.Second))
		Expect(keys(t)).To(Equal(map[string]int{"a": 5}))
		t.Replace(nil, version(6), start.Add(2*time.Second))
		Expect(keys(t)).To(BeEmpty())
	})

	It("does not bring back a removed row by an older version of it", func() {
		t := newTable(1)
		t.Replace([]fleet.StoreRow{row("a", 1)}, version(2), start)
		Expect(t.ApplyFeed(nil, []fleet.StoreRow{row("a", 4)})).To(BeTrue())
		Expect(t.ApplyFeed([]fleet.StoreRow{row("a", 3)}, nil)).To(BeFalse())
		Expect(t.ApplyFeed([]fleet.StoreRow{row("a", 5)}, nil)).To(BeTrue())
	})

	// Pattern: a reader whose feed omitted a change finds it by a read, after other VMs have
	// copied later changes from it.
	It("passes on a change that it learned late, to copies that are beyond its version", func() {
		reader, follower := newTable(1), newTable(2)
		reader.Replace([]fleet.StoreRow{row("a", 1), row("b", 1)}, version(2), start)
		reader.ApplyFeed([]fleet.StoreRow{row("a", 9)}, nil)
		first := reader.Since(storereplica.Cursor{})
		Expect(first.Full).To(BeTrue())
		follower.ApplyDelta(first, start)
		reader.Replace([]fleet.StoreRow{row("a", 9), row("b", 5)}, version(9), start.Add(time.Second))
		second := reader.Since(first.Next)
		Expect(second.Full).To(BeFalse())
		Expect(second.Rows).To(Equal([]fleet.StoreRow{row("b", 5)}))
		changed, used := follower.ApplyDelta(second, start.Add(time.Second))
		Expect([]bool{changed, used}).To(Equal([]bool{true, true}))
		Expect(keys(follower)).To(Equal(map[string]int{"a": 9, "b": 5}))
		Expect(follower.ConfirmedAt()).To(Equal(start.Add(time.Second)))
	})

	// Pattern: a VM that has read the store itself takes the state of one that lags behind.
	It("takes nothing from a copy that is older than itself", func() {
		reader, follower := newTable(1), newTable(2)
		reader.Replace([]fleet.StoreRow{row("a", 1)}, version(2), start)
		follower.Replace([]fleet.StoreRow{row("a", 3)}, version(3), start)
		for _, cursor := range []storereplica.Cursor{{}, reader.Since(storereplica.Cursor{}).Next} {
			_, used := follower.ApplyDelta(reader.Since(cursor), start.Add(time.Second))
			Expect(used).To(BeFalse())
		}
		Expect(follower.ConfirmedAt()).To(Equal(start))
	})

	It("returns all rows to a cursor of another copy, or of itself before a reset", func() {
		t := newTable(1)
		t.Replace([]fleet.StoreRow{row("a", 1)}, version(2), start)
		cursor := t.Since(storereplica.Cursor{}).Next
		Expect(t.Since(cursor).Full).To(BeFalse())
		t.Reset(9, era)
		t.Replace([]fleet.StoreRow{row("a", 1)}, version(2), start)
		Expect(t.Since(cursor).Full).To(BeTrue())
	})

	It("returns all rows once the removals since a cursor are forgotten", func() {
		t := newTable(1)
		cursor := t.Since(storereplica.Cursor{}).Next
		for i := range 5000 {
			key := fmt.Sprintf("k%05d", i)
			t.ApplyFeed([]fleet.StoreRow{row(key, 2*i+1)}, nil)
			t.ApplyFeed(nil, []fleet.StoreRow{row(key, 2*i+2)})
		}
		Expect(t.Since(cursor).Full).To(BeTrue())
	})

	// A store with random writes and removals, a reader with reads and a feed that omits
	// changes, and a chain of two copies, each at random times: all reach the store's state,
	// and none is ever confirmed later than its rows were current.
	It("equals the store after any history, through two copies", func() {
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 0))
			store, newest := map[string]int{}, 0
			var history []map[string]int // by version
			history = append(history, map[string]int{})
			chain := []*storereplica.Table{newTable(1), newTable(2), newTable(3)}
			cursors := make([]storereplica.Cursor, 3)
			rows := func() (out []fleet.StoreRow) {
				for key, v := range store {
					out = append(out, row(key, v))
				}
				return out
			}
			now := start
			for range 300 {
				now = now.Add(time.Millisecond)
				switch random.IntN(5) {
				case 0, 1:
					newest++
					key := fmt.Sprint("k", random.IntN(6))
					if _, found := store[key]; found && random.IntN(3) == 0 {
						delete(store, key)
						if random.IntN(2) == 0 {
							chain[0].ApplyFeed(nil, []fleet.StoreRow{row(key, newest)})
						}
					} else {
						store[key] = newest
						if random.IntN(2) == 0 {
							chain[0].ApplyFeed([]fleet.StoreRow{row(key, newest)}, nil)
						}
					}
					copied := map[string]int{}
					for k, v := range store {
						copied[k] = v
					}
					history = append(history, copied)
				case 2:
					chain[0].Replace(rows(), version(newest), now)
				default:
					i := 1 + random.IntN(2)
					if random.IntN(8) == 0 {
						cursors[i] = storereplica.Cursor{}
					}
					d := chain[i-1].Since(cursors[i])
					if _, used := chain[i].ApplyDelta(d, chain[i-1].ConfirmedAt()); used {
						cursors[i] = d.Next
					}
				}
				for _, t := range chain {
					for key, v := range history[t.Version().Row] {
						got, found := t.Row(key)
						Expect(!found || int(got.Version.Row) >= v).To(BeTrue(), "seed %d: a row from before the confirmed version", seed)
					}
				}
			}
			chain[0].Replace(rows(), version(newest), now)
			for i := 1; i < 3; i++ {
				d := chain[i-1].Since(cursors[i])
				chain[i].ApplyDelta(d, chain[i-1].ConfirmedAt())
				Expect(keys(chain[i])).To(Equal(store), "seed %d, copy %d", seed, i)
			}
		}
	})
})
