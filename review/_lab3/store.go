package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"resource-version"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store is a stand-in of the platform's store: rows, transactions and the feed.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	version uint64
	// changes are those since the version discarded, which is where the present era began.
	changes   []row
	discarded uint64
	// era is stated in all answers and rises by one with each restore; away is true while the
	// store answers 503.
	era     uint64
	away    bool
	started time.Time
	server  *http.Server
	address string
	// loseWrite decides whether the answer of a write that was done is lost; nil loses none.
	loseWrite func(puts []row) bool
	record    func(format string, args ...any)
}

// newStore starts an empty store on a free port of a host.
func newStore(host string, record func(string, ...any)) (*store, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{rows: map[string]row{}, era: 1, started: time.Now(), address: listener.Addr().String(), record: record}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.transact)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(listener) }() // ends with close
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes a row without a condition, as the operator or a runner does.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Value: text})
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeRow(row{Table: table, Key: key})
}

// count returns the number of rows of a table whose keys have a prefix.
func (s *store) count(table, prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.rows {
		if r.Table == table && strings.HasPrefix(r.Key, prefix) {
			n++
		}
	}
	return n
}

func (s *store) write(r row) {
	s.version++
	r.Version = s.version
	s.rows[r.id()] = r
	s.changes = append(s.changes, r)
}

func (s *store) removeRow(r row) {
	if _, found := s.rows[r.id()]; !found {
		return
	}
	s.version++
	delete(s.rows, r.id())
	r.Value, r.Version, r.Tombstone = nil, s.version, true
	s.changes = append(s.changes, r)
}

type rowsAnswer struct {
	Rows      []row  `json:"rows"`
	MorePages bool   `json:"more-pages"`
	Version   uint64 `json:"resource-version"`
	NowMs     int64  `json:"now-ms"`
}

// answer returns an answer as of now; the caller holds the lock.
func (s *store) answer(rows []row) rowsAnswer {
	return rowsAnswer{Rows: rows, Version: s.version, NowMs: time.Since(s.started).Milliseconds()}
}

// writeJSON answers a call with the era in which it was done.
func writeJSON(w http.ResponseWriter, era uint64, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // the caller may be gone
}

// storeCopy is a copy of the store.
type storeCopy struct {
	rows    map[string]row
	version uint64
}

// copy returns a copy of the store as it is now.
func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{rows: maps.Clone(s.rows), version: s.version}
}

// leave has the store answer 503 until it is restored.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
}

// restore has the store come back from a copy: what was written since is gone, and versions are
// given out again.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version, s.changes, s.discarded = maps.Clone(c.rows), c.version, nil, c.version
	s.era++
	s.away = false
}

// isAway answers 503 while the store is away; the caller holds the lock, which isAway releases then.
func (s *store) isAway(w http.ResponseWriter) bool {
	if !s.away {
		return false
	}
	era := s.era
	s.mu.Unlock()
	writeJSON(w, era, http.StatusServiceUnavailable, map[string]any{})
	return true
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	const page = 500
	q := r.URL.Query()
	s.mu.Lock()
	if s.isAway(w) {
		return
	}
	era := s.era
	rows := []row{}
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, k int) bool { return rows[i].Key < rows[k].Key })
	answer := s.answer(rows[:min(len(rows), page)])
	answer.MorePages = len(rows) > page
	s.mu.Unlock()
	writeJSON(w, era, http.StatusOK, answer)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after-revision"), 10, 64)
	waitMs, waitErr := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for end := time.Now().Add(time.Duration(waitMs) * time.Millisecond); ; time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		if s.isAway(w) {
			return
		}
		era, gone := s.era, after < s.discarded || after > s.version
		rows := slices.DeleteFunc(slices.Clone(s.changes), func(r row) bool { return r.Table != q.Get("table") || r.Version <= after })
		answer := s.answer(rows)
		s.mu.Unlock()
		if gone {
			writeJSON(w, era, http.StatusGone, map[string]any{})
			return
		}
		if len(rows) > 0 || time.Now().After(end) {
			writeJSON(w, era, http.StatusOK, answer)
			return
		}
		if r.Context().Err() != nil {
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Precondition []row `json:"precondition"`
		Puts         []row `json:"puts"`
		Remove       []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(5 * time.Millisecond) // tx-ms
	s.mu.Lock()
	if s.isAway(w) {
		return
	}
	era := s.era
	for _, want := range tx.Precondition {
		if s.rows[want.id()].Version != want.Version {
			answer := s.answer([]row{})
			s.mu.Unlock()
			writeJSON(w, era, http.StatusPreconditionFailed, answer)
			return
		}
	}
	for _, row := range tx.Puts {
		s.write(row)
	}
	for _, row := range tx.Remove {
		s.removeRow(row)
	}
	answer, lost := s.answer([]row{}), s.loseWrite != nil && s.loseWrite(tx.Puts)
	s.mu.Unlock()
	if lost {
		s.record("store: write done, answer lost")
		<-r.Context().Done() // the connection delivers nothing further
		return
	}
	writeJSON(w, era, http.StatusOK, answer)
}
