package ctl

import (
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"

	"tamarackreach/internal/frontdaemon"
	"tamarackreach/platform"
)

// maxStatusBytes limits the size of a VM's status, which has some hundred bytes
// per target.
const maxStatusBytes = 16 << 20

func checkFlags(set *flag.FlagSet) func(*session) error {
	settings := set.String("settings", "", "settings `file` of tamarack-front")
	deploy := set.String("deploy", "", "deploy `file`")
	return func(s *session) error {
		if *settings == "" && *deploy == "" {
			return errors.Mark(errors.New("name what to check with -settings, -deploy or both"), errUsage)
		}
		if *settings != "" {
			if _, err := platform.LoadSettings(*settings); err != nil {
				return errors.Mark(err, errUsage)
			}
			s.printf("%s: settings are valid\n", *settings)
		}
		if *deploy == "" {
			return nil
		}
		text, err := os.ReadFile(*deploy)
		if err == nil {
			err = platform.CheckDeploy(text)
		}
		if err != nil {
			return errors.Mark(err, errUsage)
		}
		s.printf("%s: deploy file is valid\n", *deploy)
		return nil
	}
}

// vmStatusFlags returns a command that prints the status of an entry VM, as JSON or by print.
func vmStatusFlags(print func(*session, *frontdaemon.Status)) func(*flag.FlagSet) func(*session) error {
	return func(set *flag.FlagSet) func(*session) error {
		address := set.String("status", "127.0.0.1:9464", "metrics `address` of an entry VM, host:port")
		return func(s *session) error {
			status, text, err := readStatus(s, *address)
			if err != nil {
				return err
			}
			if s.json {
				s.printf("%s\n", text)
				return nil
			}
			print(s, status)
			return nil
		}
	}
}

// query sends a request to the metrics address of a VM and returns the status and the body of
// the response, and the URL.
func query(s *session, method, address, path string, body io.Reader) (status int, text []byte, url string, err error) {
	url = "http://" + address + path
	req, err := http.NewRequestWithContext(s.ctx, method, url, body)
	if err != nil {
		return 0, nil, url, errors.Mark(errors.Wrap(err, "-status must be host:port"), errUsage)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, url, errors.Wrap(err, "the VM does not answer; name its metrics address with -status")
	}
	defer func() { _ = resp.Body.Close() }()
	text, err = io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	return resp.StatusCode, text, url, errors.Wrap(err, "the answer broke off; ask again")
}

func readStatus(s *session, address string) (*frontdaemon.Status, []byte, error) {
	code, text, url, err := query(s, http.MethodGet, address, frontdaemon.StatusPath, http.NoBody)
	if err != nil {
		return nil, nil, err
	}
	var status frontdaemon.Status
	if err := json.Unmarshal(text, &status); err != nil || code != http.StatusOK {
		return nil, nil, errors.Newf("%s answered %d and no status; is it the metrics address of a tamarack-front?", url, code)
	}
	return &status, text, nil
}

func printPlacement(s *session, status *frontdaemon.Status) {
	s.printf("%s in %s: configuration %d, confirmed %d ms ago, store away %t, store era %d, %d requests\n",
		status.VM, status.Zone, status.Configuration, status.ConfirmedMs, status.StoreUnreachable, status.StoreEra, status.InFlight)
	for _, t := range status.Targets {
		s.printf("%-16s %-14s %-12s %-6s %-9s %-10s pace %.1f, %d requests, %d waiting\n",
			t.ID, t.Service, t.Zone, t.Kind, t.Held.String(), t.State, t.Pace, t.Requests, t.Waiting)
	}
	for _, hole := range status.Holes {
		s.printf("hole: no usable target of %s in %s holds %s\n", hole.Service, hole.Zone, hole.Layers)
	}
	if len(status.Holes) == 0 {
		s.printf("no holes: each zone can run every layer\n")
	}
}
