// Package fault defines the typed errors that are returned to callers and
// operators. Each states what the receiver may conclude and what it can do.
package fault

import (
	"fmt"
	"time"
)

// Kind states what a caller may conclude from a fault.
type Kind uint8

// The kinds of faults.
const (
	// NotRun means the request was not run and never will be.
	NotRun Kind = iota + 1
	// Failed means the request ran and failed; the answer is final.
	Failed
	// InDoubt means the request may have run; the system never retries it.
	InDoubt
)

// String returns the name of the kind that callers see.
func (k Kind) String() string {
	switch k {
	case NotRun:
		return "not run"
	case Failed:
		return "failed"
	case InDoubt:
		return "in doubt"
	}
	return "unknown"
}

// Code is the stable machine-readable name of a fault.
type Code string

// The fault codes; docs/OPERATIONS.md lists each with its remedy.
const (
	BadKey              Code = "bad_key"
	BadRequest          Code = "bad_request"
	UnknownModel        Code = "unknown_model"
	UnknownService      Code = "unknown_service"
	UnknownMethod       Code = "unknown_method"
	PromptTooLong       Code = "prompt_too_long"
	KeyMissing          Code = "idempotency_key_missing"
	KeyInUse            Code = "idempotency_key_in_use"
	KeyReused           Code = "idempotency_key_reused"
	QuotaExceeded       Code = "quota_exceeded"
	DeadlineUnreachable Code = "deadline_unreachable"
	NoCapacity          Code = "no_capacity"
	Overloaded          Code = "overloaded"
	NotReady            Code = "not_ready"
	Quarantined         Code = "quarantined"
	RetriesExhausted    Code = "retries_exhausted"
	PlatformDown        Code = "platform_unavailable"
	CallInDoubt         Code = "call_in_doubt"
	CallFailed          Code = "call_failed"
	AnswerNotKept       Code = "answer_not_kept"
	ChangeConflict      Code = "change_conflict"
	ChangeInvalid       Code = "change_invalid"
	ChangeInDoubt       Code = "change_in_doubt"
	WrongTeam           Code = "wrong_team"
	UnknownTarget       Code = "unknown_target"
	UnknownRevision     Code = "unknown_revision"
	SettingInvalid      Code = "setting_invalid"
	SettingsDiverged    Code = "settings_diverged"
)

// Fault is an error with its remedy.
type Fault struct {
	Kind    Kind   `json:"kind"`
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Remedy states what the receiver can do.
	Remedy string `json:"remedy"`
	// RetryAfter is the delay after which a retry may succeed; 0 when a retry does
	// not help.
	RetryAfter time.Duration `json:"retry_after_ns"`
}

// Error implements error.
func (f *Fault) Error() string {
	text := fmt.Sprintf("%s (%s): %s; remedy: %s", f.Kind, f.Code, f.Message, f.Remedy)
	if f.RetryAfter > 0 {
		text += fmt.Sprintf("; come back in %s", f.RetryAfter)
	}
	return text
}
