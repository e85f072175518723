package ctl

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/event"
	"tamarackreach/internal/keys"
	"tamarackreach/internal/operatorapi"
	"tamarackreach/internal/settings"
	"tamarackreach/internal/strictjson"
)

// print writes a message as JSON with -json, otherwise as text.
func (s *session) print(message proto.Message, text func()) error {
	if !s.json {
		text()
		return nil
	}
	data, err := protojson.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode answer")
	}
	s.printf("%s\n", data)
	return nil
}

// printf writes to the output. Write errors are ignored, as there is nowhere else
// to report them.
func (s *session) printf(format string, args ...any) { _, _ = fmt.Fprintf(s.out, format, args...) }

// readChange reads a change file: a JSON object with id, team, author, reason,
// base_revision and edits.
func readChange(path string) (event.Change, error) {
	var change event.Change
	data, err := os.ReadFile(path)
	if err != nil {
		return change, errors.Mark(errors.Wrap(err, "read change file; name one with -file"), errUsage)
	}
	if err := strictjson.Decode(data, &change); err != nil {
		return change, errors.Mark(errors.Wrap(err, "decode change file; its fields are in docs/OPERATIONS.md"), errUsage)
	}
	return change, nil
}

func applyFlags(set *flag.FlagSet) func(*session) error {
	file := set.String("file", "", "change `file` (JSON)")
	return func(s *session) error {
		change, err := readChange(*file)
		if err != nil {
			return err
		}
		response, err := s.client.Apply(s.ctx, request(s, &tamarackv1.ApplyRequest{Change: operatorapi.ChangeMessage(change)}))
		if err != nil {
			return err
		}
		return s.print(response.Msg, func() { s.printf("change %s is accepted as revision %d\n", change.ID, response.Msg.Revision) })
	}
}

func diffFlags(set *flag.FlagSet) func(*session) error {
	file := set.String("file", "", "change `file` (JSON)")
	return func(s *session) error {
		change, err := readChange(*file)
		if err != nil {
			return err
		}
		tree, revision, err := s.tree()
		if err != nil {
			return err
		}
		differences := settings.Diff(tree, &change)
		if s.json {
			return json.NewEncoder(s.out).Encode(differences)
		}
		s.printf("against revision %d:\n", revision)
		for _, d := range differences {
			s.printf("%s\n  - %s\n  + %s\n", d.Path, d.Before, d.After)
		}
		s.printf("%d paths change; nothing else does\n", len(differences))
		return nil
	}
}

// tree returns the settings tree in force and its revision.
func (s *session) tree() (*settings.Tree, uint64, error) {
	response, err := s.client.GetSettings(s.ctx, request(s, &tamarackv1.GetSettingsRequest{}))
	if err != nil {
		return nil, 0, err
	}
	tree := settings.NewTree()
	if err := json.Unmarshal([]byte(response.Msg.TreeJson), tree); err != nil {
		return nil, 0, errors.Wrap(err, "decode settings tree")
	}
	return tree, response.Msg.Revision, nil
}

func getFlags(*flag.FlagSet) func(*session) error {
	return func(s *session) error {
		response, err := s.client.GetSettings(s.ctx, request(s, &tamarackv1.GetSettingsRequest{}))
		if err != nil {
			return err
		}
		return s.print(response.Msg, func() { s.printf("%s\n", response.Msg.TreeJson) })
	}
}

func historyFlags(set *flag.FlagSet) func(*session) error {
	limit := set.Uint("limit", 20, "number of changes to list")
	return func(s *session) error {
		response, err := s.client.History(s.ctx, request(s, &tamarackv1.HistoryRequest{Limit: uint32(*limit)}))
		if err != nil {
			return err
		}
		return s.print(response.Msg, func() {
			for _, change := range response.Msg.Changes {
				s.printChange(change)
			}
		})
	}
}

func (s *session) printChange(change *tamarackv1.Change) {
	at := time.UnixMilli(change.AcceptedUnixMs).UTC().Format(time.RFC3339)
	s.printf("%d %s team=%s author=%s id=%s %s\n", change.Revision, at, change.Team, change.Author, change.Id, change.Reason)
	for _, edit := range change.Edits {
		s.printf("    teams/%s/%s\n", change.Team, edit.Path)
	}
}

func changeFlags(set *flag.FlagSet) func(*session) error {
	id := set.String("id", "", "change `id`")
	revision := set.Uint64("revision", 0, "revision")
	return func(s *session) error {
		response, err := s.client.GetChange(s.ctx, request(s, &tamarackv1.GetChangeRequest{ChangeId: *id, Revision: *revision}))
		if err != nil {
			return err
		}
		return s.print(response.Msg, func() { s.printChange(response.Msg.Change) })
	}
}

func statusFlags(*flag.FlagSet) func(*session) error {
	return func(s *session) error {
		response, err := s.client.Status(s.ctx, request(s, &tamarackv1.StatusRequest{}))
		if err != nil {
			return err
		}
		return s.print(response.Msg, func() { s.printStatus(response.Msg) })
	}
}

func (s *session) printStatus(status *tamarackv1.StatusResponse) {
	s.printf("head revision %d, platform unavailable: %t\n", status.HeadRevision, status.PlatformUnavailable)
	for _, node := range status.Nodes {
		since := time.UnixMilli(node.InForceUnixMs).UTC().Format(time.RFC3339)
		s.printf("node %s zone=%s %s revision=%d since %s, confirmed %d ms ago\n",
			node.NodeId, node.Zone, node.State, node.Revision, since, node.SettingsAgeMs)
	}
	for _, target := range status.Targets {
		s.printf("target %s zone=%s %s %s %s layers=[%d,%d) queued=%d\n", target.TargetId, target.Zone, target.State,
			target.Model, target.Version, target.Layers.GetFirst(), target.Layers.GetEnd(), target.Queued)
	}
	for _, alarm := range status.Alarms {
		s.printf("alarm: %s\n", alarm)
	}
}

func drainFlags(*flag.FlagSet) func(*session) error {
	return func(s *session) error {
		if len(s.args) != 1 {
			return errors.Mark(errors.New("name one target"), errUsage)
		}
		_, err := s.client.Drain(s.ctx, request(s, &tamarackv1.DrainRequest{TargetId: s.args[0]}))
		return err
	}
}

func explainFlags(set *flag.FlagSet) func(*session) error {
	logs := set.String("log", "", "log `files` of entry VMs, separated by commas, - for standard input: explains a request that has ended")
	return func(s *session) error {
		if len(s.args) != 1 {
			return errors.Mark(errors.New("name one request"), errUsage)
		}
		if *logs != "" {
			readers, closeAll, err := openLogs(*logs)
			if err != nil {
				return err
			}
			defer closeAll()
			return explainLogs(readers, s.args[0], s.out)
		}
		response, err := s.client.Explain(s.ctx, request(s, &tamarackv1.ExplainRequest{RequestId: s.args[0]}))
		if err != nil {
			return err
		}
		return s.print(response.Msg, func() {
			for _, step := range response.Msg.Steps {
				s.printf("%s\n", step)
			}
		})
	}
}

func keysFlags(set *flag.FlagSet) func(*session) error {
	dir := set.String("dir", ".", "`directory` for the PEM files")
	return func(s *session) error {
		authority, err := keys.NewAuthority()
		if err != nil {
			return err
		}
		if err := authority.WriteAuthority(*dir); err != nil {
			return err
		}
		for _, node := range s.args {
			if err := authority.WriteNode(*dir, node); err != nil {
				return err
			}
		}
		s.printf("wrote ca.pem and keys of %d nodes to %s; for tests only\n", len(s.args), *dir)
		return nil
	}
}
