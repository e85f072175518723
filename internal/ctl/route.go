package ctl

import (
	"bytes"
	"encoding/json"
	"flag"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"tamarackreach/internal/director"
	"tamarackreach/internal/frontdaemon"
)

// errRefused marks the answer of a VM that it serves no such request.
var errRefused = errors.New("refused")

func routeFlags(set *flag.FlagSet) func(*session) error {
	address := set.String("status", "127.0.0.1:9464", "metrics `address` of an entry VM, host:port")
	query := frontdaemon.RouteQuery{}
	set.StringVar(&query.Host, "host", "", "`host` of the request")
	set.StringVar(&query.Path, "path", "", "`path` of the request")
	set.StringVar(&query.Key, "key", "", "API `key` of the request")
	set.IntVar(&query.PromptTokens, "prompt-tokens", 0, "declared tokens of the prompt")
	set.IntVar(&query.AnswerTokens, "answer-tokens", 0, "declared tokens of the answer")
	return func(s *session) error {
		if query.Host == "" || query.Path == "" {
			return errors.Mark(errors.New("name the request with -host and -path"), errUsage)
		}
		run, text, err := readRoute(s, *address, query)
		if err != nil {
			return err
		}
		if s.json {
			s.printf("%s\n", bytes.TrimSpace(text))
		}
		if run.Refusal != nil {
			return errors.Mark(routeError(run), errRefused)
		}
		if !s.json {
			printRoute(s, run)
		}
		return nil
	}
}

// routeError names the remedy of a refusal that does not depend on targets.
func routeError(run *director.DryRun) error {
	remedy := "the request would be refused at this VM"
	switch {
	case run.Configuration == 0:
		remedy = "the VM has no configuration; see tamarackctl fleet"
	case run.Refusal.Status == http.StatusNotFound:
		remedy = "unknown route; check -host and -path"
	case run.Refusal.Status == http.StatusUnauthorized:
		remedy = "unknown key; check -key"
	}
	return errors.Newf("%s: %s would answer %d, %s", remedy, run.VM, run.Refusal.Status, run.Refusal.Reason)
}

func readRoute(s *session, address string, asked frontdaemon.RouteQuery) (*director.DryRun, []byte, error) {
	body, err := json.Marshal(asked)
	if err != nil {
		return nil, nil, errors.Wrap(err, "encode request")
	}
	code, text, url, err := query(s, http.MethodPost, address, frontdaemon.RoutePath, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	var run director.DryRun
	if err := json.Unmarshal(text, &run); err != nil || code != http.StatusOK || run.VM == "" {
		return nil, nil, errors.Newf("%s answered %d and no route; is it the metrics address of a tamarack-front of this build?", url, code)
	}
	return &run, text, nil
}

func printRoute(s *session, run *director.DryRun) {
	s.printf("%s in %s: configuration %d, route %s, workspace %q, priority %d\n", run.VM, run.Zone, run.Configuration, run.Route, run.Workspace, run.Priority)
	for i := range run.Services {
		service := &run.Services[i]
		s.printf("service %s, %.0f%% of the route's requests\n", service.Service, service.Share*100)
		for j := range service.Candidates {
			printCandidate(s, &service.Candidates[j])
		}
		if refusal := service.Refusal; refusal != nil {
			s.printf("  refused: %d, %s, Retry-After %d ms; %s\n", refusal.Status, refusal.Reason, refusal.RetryAfterMs, refusal.Detail)
			continue
		}
		var hops []string
		for _, hop := range service.Path {
			hops = append(hops, string(hop.Target)+hop.Layers.String())
		}
		through := ""
		if service.Relay != "" {
			through = ", through " + string(service.Relay)
		}
		s.printf("  admitted: %s%s, first event predicted after %d ms and %d ms of queued prompts\n", strings.Join(hops, " "), through, service.PrefillMs, service.QueueMs)
	}
}

func printCandidate(s *session, c *director.DryRunCandidate) {
	mark := " "
	if c.Chosen {
		mark = "*"
	}
	s.printf("%s %-16s %-12s %-9s %d requests, %d waiting, %d of %d slots, load %d ms old", mark, c.Target, c.Zone, c.Held.String(), c.Requests, c.Waiting, c.First, c.Slots, c.LoadAgeMs)
	if c.CostPerLayer != nil {
		s.printf(", cost %.4f per layer", *c.CostPerLayer)
	}
	if c.FirstHopCost != nil {
		s.printf(", %.2f as first hop", *c.FirstHopCost)
	}
	if len(c.Excluded) > 0 {
		s.printf("; %s", strings.Join(c.Excluded, ", "))
	}
	s.printf("\n")
}
