package controller

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/membership"
	"tamarackreach/internal/model"
	"tamarackreach/internal/storereplica"
	"tamarackreach/platform"
)

const (
	// copiesPath is the path prefix of a copy; the name of the table follows.
	copiesPath = "/copies/"
	// copyStateHeader is the header of a response that holds its copyState.
	copyStateHeader = "Copy-State"
	// takeTimeout bounds a request for another VM's copy, which takes milliseconds.
	takeTimeout = 250 * time.Millisecond
	// maxCopyBytes limits a response: all registrations of a large deployment.
	maxCopyBytes = 32 << 20
	// copiesHeaderTimeout and copiesIdleTimeout bound a connection for copies.
	copiesHeaderTimeout = 2 * time.Second
	copiesIdleTimeout   = 30 * time.Second
)

// copiedRow is a row in a response.
type copiedRow struct {
	Key     string           `json:"key"`
	Value   []byte           `json:"value,omitempty"`
	Version model.RowVersion `json:"version"`
}

// copyState is what a VM knows of its copy, in the header of a response. Fields that a build
// does not know are skipped, and those that are missing are zero.
type copyState struct {
	// Store is the address of the store that was read.
	Store   string           `json:"store"`
	Era     fleet.StoreEra   `json:"era"`
	Version model.RowVersion `json:"version"`
	AgeMs   int64            `json:"age_ms"`
	// RecoveredMs is the time since the last outage of the store ended, in which no VM known
	// to the sender read the registrations; 0 if it knows of none. Failed reads of the sender
	// alone are not stated.
	RecoveredMs int64 `json:"recovered_ms,omitempty"`
}

// copyBody is a copy of a table, or what has changed in it since a cursor. It depends on
// nothing but the cursor and the changes, so that it is encoded once for all VMs that ask.
type copyBody struct {
	Full    bool                `json:"full,omitempty"`
	Rows    []copiedRow         `json:"rows,omitempty"`
	Removed []copiedRow         `json:"removed,omitempty"`
	Next    storereplica.Cursor `json:"next"`
}

// copyResponse is a response for a copy.
type copyResponse struct {
	copyState
	copyBody
}

func encodeCopiedRows(rows []fleet.StoreRow) []copiedRow {
	out := make([]copiedRow, 0, len(rows))
	for _, r := range rows {
		out = append(out, copiedRow{Key: r.Key, Value: r.Value, Version: r.Version.Row})
	}
	return out
}

func decodeCopiedRows(rows []copiedRow, era fleet.StoreEra) []fleet.StoreRow {
	out := make([]fleet.StoreRow, 0, len(rows))
	for _, r := range rows {
		out = append(out, fleet.StoreRow{Key: r.Key, Value: r.Value, Version: fleet.StoreVersion{Era: era, Row: r.Version}})
	}
	return out
}

// serveCopies passes on this VM's copies to other VMs.
func (c *Controller) serveCopies(ctx context.Context) error {
	address := c.peers.copies.Address
	if address == "" {
		logrus.Info("settings name no second port for other VMs; no copies of the store's tables are passed on")
		return nil
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", address)
	if err != nil {
		return errors.Wrapf(err, "cannot listen for other VMs on %s; free the port", address)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+copiesPath+"{table}", c.serveCopy)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: copiesHeaderTimeout, IdleTimeout: copiesIdleTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close() // ends Serve below
	}()
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			logrus.WithError(err).Error("listener for copies failed")
		}
	}()
	return nil
}

func (c *Controller) serveCopy(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(c.peers.copies.Secret)) != 1 {
		http.Error(w, "the secret is not this process's", http.StatusForbidden)
		return
	}
	query := r.URL.Query()
	epoch, err1 := strconv.ParseUint(query.Get("epoch"), 10, 64)
	change, err2 := strconv.ParseUint(query.Get("change"), 10, 64)
	if err1 != nil || err2 != nil {
		http.Error(w, "epoch and change must be whole numbers", http.StatusBadRequest)
		return
	}
	for _, t := range c.tables {
		if t.name != r.PathValue("table") {
			continue
		}
		c.writeCopy(w, t, storereplica.Cursor{Epoch: epoch, Change: change})
		return
	}
	http.Error(w, "this build passes on no such table", http.StatusNotFound)
}

// writeCopy responds with this VM's copy of a table since a cursor.
func (c *Controller) writeCopy(w http.ResponseWriter, t *table, cursor storereplica.Cursor) {
	state, body, compressed, err := c.encodedCopy(t, cursor)
	if err != nil {
		logrus.WithError(err).Error("cannot encode a copy")
		http.Error(w, "cannot encode the copy", http.StatusInternalServerError)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(copyStateHeader, string(state))
	if compressed {
		header.Set("Content-Encoding", "gzip")
	}
	if _, err := w.Write(body); err != nil {
		logrus.WithError(err).Debug("cannot write a copy")
	}
}

// encodedCopy returns this VM's copy of a table since a cursor, encoded.
func (c *Controller) encodedCopy(t *table, cursor storereplica.Cursor) (state, body []byte, compressed bool, err error) {
	now := bootclock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	stated := copyState{Store: c.store.Address(), Era: t.copied.Version().Era, Version: t.copied.Version().Row, AgeMs: -1}
	if t.copied.Read() {
		stated.AgeMs = now.Sub(t.copied.ConfirmedAt()).Milliseconds()
	}
	c.reducer.Read(func(s *director.State) {
		if recoveredAt := s.StoreRecoveredAt(); recoveredAt != 0 {
			stated.RecoveredMs = max(now.Sub(recoveredAt).Milliseconds(), 1)
		}
	})
	if state, err = json.Marshal(stated); err != nil {
		return nil, nil, false, errors.Wrap(err, "cannot encode the state")
	}
	body, compressed, err = t.encoded.get(&t.copied, cursor)
	return state, body, compressed, err
}

// take applies another VM's copy of a table. It reports whether the copy was used.
//
// Invariant: the age of a copy counts from before the request, so that a late response makes
// it older and never younger.
func (c *Controller) take(ctx context.Context, t *table, r tableReader, source model.NodeID, endpoint membership.Endpoint) bool {
	t.mu.Lock()
	known := t.cursor
	cursor := known
	if t.source != source {
		cursor = storereplica.Cursor{}
	}
	t.mu.Unlock()
	queriedAt := bootclock.Now()
	response, err := c.requestCopy(ctx, endpoint, t.name, cursor)
	if err != nil {
		logrus.WithError(err).WithFields(logrus.Fields{"vm": source, "table": t.name}).Debug("no copy of the table received")
		c.copies.CloseIdleConnections() // they may be silent for good
		return false
	}
	if response.Store != c.store.Address() || response.AgeMs < 0 || !c.acceptCopiedEra(response.Era) {
		return false
	}
	c.noteRecovery(queriedAt, source, response)
	version := fleet.StoreVersion{Era: response.Era, Row: response.Version}
	delta := storereplica.Delta{
		Full: response.Full, Rows: decodeCopiedRows(response.Rows, response.Era), Removed: decodeCopiedRows(response.Removed, response.Era),
		Version: version, Next: response.Next,
	}
	t.mu.Lock()
	// A reset in the meantime has emptied the copy to which a delta belongs.
	changed, used := false, false
	if delta.Full || known == t.cursor {
		// A millisecond is added because the age is rounded down.
		changed, used = t.copied.ApplyDelta(delta, queriedAt.Add(-time.Duration(response.AgeMs+1)*time.Millisecond))
	}
	if used {
		t.cursor, t.source = delta.Next, source
		t.fromVMs.Add(1)
	}
	t.mu.Unlock()
	if !used {
		return false
	}
	r.apply()
	if changed {
		c.sendHint(t)
	}
	return true
}

// acceptCopiedEra reports whether a copy is of the current era of the store. Another VM's
// statement of a later era begins it here as well.
func (c *Controller) acceptCopiedEra(era fleet.StoreEra) bool {
	return era >= c.era.current() && c.acceptEra(era, nil) == nil
}

// noteRecovery passes on when the last outage of the store ended by the word of another VM:
// registrations expire while the store is away, also for a VM that did not read it meanwhile.
// That the other VM's reads fail shows nothing about the store.
func (c *Controller) noteRecovery(queriedAt model.Instant, source model.NodeID, response *copyResponse) {
	if response.RecoveredMs <= 0 {
		return
	}
	logrus.WithFields(logrus.Fields{
		"source": source, "recovered_ms": response.RecoveredMs, "age_ms": response.AgeMs, "own_failing": c.storeFailing(queriedAt),
	}).Debug("copy states an outage of the store")
	c.reducer.Step(director.RecoveryStated{At: queriedAt.Add(-time.Duration(response.RecoveredMs) * time.Millisecond)})
}

func (c *Controller) requestCopy(ctx context.Context, endpoint membership.Endpoint, name string, cursor storereplica.Cursor) (*copyResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	query := url.Values{"epoch": {strconv.FormatUint(cursor.Epoch, 10)}, "change": {strconv.FormatUint(cursor.Change, 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint.Address+copiesPath+name+"?"+query.Encode(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "cannot create the request")
	}
	req.Header.Set("Authorization", endpoint.Secret)
	resp, err := c.copies.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("the VM returned status %d; the store is read instead", resp.StatusCode)
	}
	var out copyResponse
	if err := json.Unmarshal([]byte(resp.Header.Get(copyStateHeader)), &out.copyState); err != nil {
		return nil, errors.Wrap(err, "cannot decode the state of the copy; the store is read instead")
	}
	return &out, decodeCopy(resp, &out.copyBody)
}

// copiesAddress returns the address of this VM's copies, empty where the settings name no
// port for them.
func copiesAddress(s *platform.Settings) string {
	if s.CopiesPort == 0 {
		return ""
	}
	return net.JoinHostPort(s.IP, strconv.Itoa(s.CopiesPort))
}

// hintKind is a datagram that names tables which have changed at its sender: a byte with a
// bit for each table.
const hintKind byte = 3

// sendHint has the VMs that take this VM's copy of a table refresh theirs without delay.
func (c *Controller) sendHint(t *table) {
	now := bootclock.Now()
	c.peers.sendHint(now, c.storeFailing(now), 1<<t.index)
}

func (p *peers) sendHint(now model.Instant, storeFailing bool, tables byte) {
	own := p.ownNote(storeFailing)
	p.mu.Lock()
	addresses := p.resolved(p.members.HintRecipients(now, own))
	p.mu.Unlock()
	for _, address := range addresses {
		p.write(address, []byte{hintKind, tables})
	}
}
