package frontdaemon

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/sirupsen/logrus"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
)

// RoutePath is the path on the metrics address that answers how a request would be routed.
const RoutePath = "/route"

// maxRouteBytes bounds the question.
const maxRouteBytes = 64 << 10

// RouteQuery is a request of which the route is asked. It is the body of a POST, so that the
// key is in no address or log.
type RouteQuery struct {
	Host string `json:"host"`
	// Path may have a query.
	Path         string `json:"path"`
	Key          string `json:"key,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	AnswerTokens int    `json:"answer_tokens,omitempty"`
}

// dryRun serves director.DryRun as JSON.
func (d *Daemon) dryRun(w http.ResponseWriter, r *http.Request) {
	var query RouteQuery
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRouteBytes)).Decode(&query); err != nil || query.Host == "" || query.Path == "" {
		http.Error(w, "send a JSON object with host and path", http.StatusBadRequest)
		return
	}
	path, uriQuery, _ := strings.Cut(query.Path, "?")
	request := &fleet.Request{
		Method: http.MethodGet, Host: query.Host, Path: path, Query: uriQuery, Key: query.Key, HasKey: query.Key != "",
		PromptTokens: max(query.PromptTokens, 0), AnswerTokens: max(query.AnswerTokens, 0),
	}
	var out director.DryRun
	d.reducer.Read(func(s *director.State) { out = s.DryRun(bootclock.Now(), request) })
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(out); err != nil {
		logrus.WithError(err).Debug("cannot write the response on a route")
	}
}
