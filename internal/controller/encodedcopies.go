package controller

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"tamarackreach/internal/storereplica"
)

const (
	// minCompressedBytes is the size from which a copy is compressed.
	minCompressedBytes = 1 << 10
	// maxEncodedCopies bounds the responses that are kept: the cursors of VMs differ while
	// they catch up.
	maxEncodedCopies = 8
)

// encodedCopies holds the encoded changes of a copy since some cursors. All VMs of a zone ask
// for the same at once, and a copy of all registrations of a large deployment takes megabytes.
type encodedCopies struct {
	// next is the position of the copy that they lead to.
	next storereplica.Cursor
	by   map[storereplica.Cursor]encodedCopy
}

type encodedCopy struct {
	body       []byte
	compressed bool
}

// get returns the encoded changes of a copy since a cursor.
func (e *encodedCopies) get(t *storereplica.Table, cursor storereplica.Cursor) (body []byte, compressed bool, err error) {
	if next := t.Position(); e.by == nil || next != e.next || len(e.by) >= maxEncodedCopies {
		e.next, e.by = next, map[storereplica.Cursor]encodedCopy{}
	}
	if known, found := e.by[cursor]; found {
		return known.body, known.compressed, nil
	}
	delta := t.Since(cursor)
	body, err = json.Marshal(copyBody{Full: delta.Full, Rows: encodeCopiedRows(delta.Rows), Removed: encodeCopiedRows(delta.Removed), Next: delta.Next})
	if err != nil {
		return nil, false, errors.Wrap(err, "cannot encode the changes")
	}
	if len(body) >= minCompressedBytes {
		var out bytes.Buffer
		w, _ := gzip.NewWriterLevel(&out, gzip.BestSpeed) // the level is valid
		if _, err := w.Write(body); err != nil {
			return nil, false, errors.Wrap(err, "cannot compress the changes")
		}
		if err := w.Close(); err != nil {
			return nil, false, errors.Wrap(err, "cannot compress the changes")
		}
		body, compressed = out.Bytes(), true
	}
	e.by[cursor] = encodedCopy{body: body, compressed: compressed}
	return body, compressed, nil
}

// decodeCopy decodes the body of a response.
func decodeCopy(resp *http.Response, out *copyBody) error {
	var body io.Reader = resp.Body
	if resp.Header.Get("Content-Encoding") == "gzip" {
		decompressed, err := gzip.NewReader(resp.Body)
		if err != nil {
			return errors.Wrap(err, "cannot decompress the copy; the store is read instead")
		}
		body = decompressed
	}
	if err := json.NewDecoder(io.LimitReader(body, maxCopyBytes)).Decode(out); err != nil {
		return errors.Wrap(err, "cannot decode the copy; the store is read instead")
	}
	return nil
}
