package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"tamarackreach/internal/strictjson"
)

const (
	maxLengthMs     = 600_000
	maxRequestsPerS = 5_000
	maxAnswerTokens = 4_096
)

// usedFields marks the fields that a kind of failure uses.
type usedFields struct{ target, length, factor bool }

var fieldsByKind = map[Kind]usedFields{
	CrashTarget:    {target: true},
	KillProcess:    {target: true},
	ReplaceProcess: {target: true},
	FreezeProcess:  {target: true, length: true},
	CutZone:        {target: true, length: true},
	SilenceTarget:  {target: true},
	SlowLinks:      {length: true, factor: true},
	PlatformOutage: {length: true},
	SlowPlatform:   {length: true, factor: true},
	LoseAnswers:    {length: true},
	CutService:     {target: true, length: true},
	LeavingTarget:  {target: true},
	PoisonRequest:  {},
	OperatorRace:   {},
}

// Check returns every problem of the scenario.
func (s *Scenario) Check() []strictjson.Problem {
	c := checker{length: s.LengthMs}
	c.require(s.Name != "", "name", s.Name, "name the scenario")
	known := s.Deployment == LinhaDourada || s.Deployment == KootenayLacing
	c.require(known, "deployment", string(s.Deployment), fmt.Sprintf("give %q or %q", LinhaDourada, KootenayLacing))
	c.require(s.Seed > 0, "seed", fmt.Sprint(s.Seed), "give a seed of at least 1, so that arrivals can be repeated")
	c.require(s.LengthMs > 0 && s.LengthMs <= maxLengthMs, "length_ms", fmt.Sprint(s.LengthMs), fmt.Sprintf("give 1 to %d", maxLengthMs))
	c.require(s.RequestsPerS > 0 && s.RequestsPerS <= maxRequestsPerS, "requests_per_s", fmt.Sprint(s.RequestsPerS), fmt.Sprintf("give more than 0 and at most %d", maxRequestsPerS))
	c.require(s.CallsPerS >= 0 && s.CallsPerS <= maxRequestsPerS, "calls_per_s", fmt.Sprint(s.CallsPerS), fmt.Sprintf("give 0 to %d", maxRequestsPerS))
	c.require(s.AnswerTokens > 0 && s.AnswerTokens <= maxAnswerTokens, "answer_tokens", fmt.Sprint(s.AnswerTokens), fmt.Sprintf("give 1 to %d", maxAnswerTokens))
	for i, failure := range s.Failures {
		c.failure(fmt.Sprintf("failures[%d]", i), failure)
	}
	return c.problems
}

type checker struct {
	length   uint32
	problems []strictjson.Problem
}

func (c *checker) require(ok bool, field, value, remedy string) {
	if !ok {
		c.problems = append(c.problems, strictjson.Problem{Field: field, Value: value, Remedy: remedy})
	}
}

func (c *checker) failure(field string, f Failure) {
	used, known := fieldsByKind[f.Kind]
	if !known {
		c.require(false, field+".kind", string(f.Kind), "give one of "+kindNames())
		return
	}
	ends := uint64(f.AtMs) + uint64(f.LengthMs)
	c.require(ends < uint64(c.length), field+".at_ms", fmt.Sprint(f.AtMs), "let the failure end before the load does")
	c.requireUsed(used.target, f.Target != "", field+".target", f.Target, f.Kind)
	c.requireUsed(used.length, f.LengthMs > 0, field+".length_ms", fmt.Sprint(f.LengthMs), f.Kind)
	c.requireUsed(used.factor, f.Factor > 0, field+".factor", fmt.Sprint(f.Factor), f.Kind)
}

// requireUsed requires a field that the kind uses and rejects one that it does
// not use, which would have no effect.
func (c *checker) requireUsed(used, given bool, field, value string, kind Kind) {
	c.require(!used || given, field, value, fmt.Sprintf("%s needs it", kind))
	c.require(used || !given, field, value, fmt.Sprintf("%s does not use it; remove it", kind))
}

func kindNames() string {
	names := make([]string, 0, len(fieldsByKind))
	for _, kind := range slices.Sorted(maps.Keys(fieldsByKind)) {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}
