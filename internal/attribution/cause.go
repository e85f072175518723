// Package attribution decides, from what became of sends and of targets, which requests crash the
// targets that run them, and whether such a request may be sent. It is pure: it has no clock, no
// network and no random numbers, and its results do not depend on the order of a map.
//
// A Ledger holds evidence only: sends, answers, and observations of targets and of VMs. Each record
// is written by one VM and exchanged between all of them. The verdict on a request is computed from
// the evidence at each send, so that evidence which arrives late, or is taken back, changes the next
// verdict. See docs/design/crash-attribution.md.
package attribution

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"tamarackreach/internal/model"
)

// Cause identifies what may crash targets: the content of requests, or a part of their prompts. The
// lowest bit is set for a part.
type Cause uint64

// Content is what identifies a request that is sent again, by the same caller or another one of its
// workspace. The fields are compared byte by byte, except for the case of the host: another spelling
// of a path may name another resource of the target.
type Content struct {
	Workspace model.WorkspaceID
	Method    string
	Host      string
	// URI is the path with the query.
	URI  string
	Body []byte
}

// Cause returns the cause that is the content.
func (c Content) Cause() Cause {
	digest := xxhash.New()
	for _, field := range []string{string(c.Workspace), c.Method, strings.ToLower(c.Host), c.URI} {
		// A hash's Write never fails.
		_, _ = digest.Write(binary.AppendUvarint(nil, uint64(len(field))))
		_, _ = digest.WriteString(field)
	}
	_, _ = digest.Write(c.Body)
	return Cause(digest.Sum64()) &^ 1
}

// PartCause returns the cause that is a part of a prompt.
func PartCause(part model.PartID) Cause { return Cause(xxhash.Sum64String(string(part))) | 1 }

// IsPart reports whether the cause is a part of a prompt.
func (c Cause) IsPart() bool { return c&1 != 0 }
