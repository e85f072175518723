// Package rpc holds the code that servers and clients of the connect APIs share:
// HTTP/2 without TLS inside a zone, and faults as error details.
package rpc

import (
	"maps"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/fault"
)

const (
	dialTimeout       = time.Second
	idleTimeout       = 90 * time.Second
	readHeaderTimeout = 5 * time.Second
	// maxResponseHeaderBytes limits the head of a response, with the details of a fault.
	maxResponseHeaderBytes = 256 << 10
)

func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// NewServer returns an HTTP server for connect handlers.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols(),
		ReadHeaderTimeout: readHeaderTimeout,
	}
}

// NewTransport returns a transport that uses HTTP/2 without TLS.
func NewTransport() *http.Transport {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:       p,
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout: idleTimeout,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// NewClient returns an HTTP client with its own connection pool.
func NewClient() *http.Client { return &http.Client{Transport: NewTransport()} }

// Error returns a connect error with the fault as its detail.
func Error(f *fault.Fault) error {
	err := connect.NewError(connectCode(f), errors.Newf("%s", f.Error()))
	detail, detailErr := connect.NewErrorDetail(&tamarackv1.Fault{
		Kind:         faultKind(f.Kind),
		Code:         string(f.Code),
		Message:      f.Message,
		Remedy:       f.Remedy,
		RetryAfterMs: uint32(f.RetryAfter.Milliseconds()),
	})
	if detailErr == nil {
		err.AddDetail(detail)
	}
	return err
}

// ErrorWith is Error with headers for the response.
func ErrorWith(f *fault.Fault, header http.Header) error {
	err := Error(f)
	var connectErr *connect.Error
	if errors.As(err, &connectErr) {
		maps.Copy(connectErr.Meta(), header)
	}
	return err
}

func faultKind(k fault.Kind) tamarackv1.FaultKind {
	switch k {
	case fault.NotRun:
		return tamarackv1.FaultKind_FAULT_KIND_NOT_RUN
	case fault.Failed:
		return tamarackv1.FaultKind_FAULT_KIND_FAILED
	case fault.InDoubt:
		return tamarackv1.FaultKind_FAULT_KIND_IN_DOUBT
	}
	return tamarackv1.FaultKind_FAULT_KIND_UNSPECIFIED
}

func connectCode(f *fault.Fault) connect.Code {
	switch f.Code {
	case fault.BadKey:
		return connect.CodeUnauthenticated
	case fault.WrongTeam:
		return connect.CodePermissionDenied
	case fault.BadRequest, fault.PromptTooLong, fault.KeyMissing, fault.KeyReused, fault.ChangeInvalid, fault.SettingInvalid:
		return connect.CodeInvalidArgument
	case fault.UnknownModel, fault.UnknownService, fault.UnknownMethod, fault.UnknownTarget, fault.UnknownRevision:
		return connect.CodeNotFound
	case fault.QuotaExceeded:
		return connect.CodeResourceExhausted
	case fault.ChangeConflict, fault.KeyInUse:
		return connect.CodeAborted
	case fault.CallInDoubt, fault.ChangeInDoubt:
		return connect.CodeUnknown
	case fault.CallFailed, fault.AnswerNotKept, fault.Quarantined:
		return connect.CodeFailedPrecondition
	case fault.DeadlineUnreachable, fault.NoCapacity, fault.Overloaded, fault.NotReady,
		fault.RetriesExhausted, fault.PlatformDown, fault.SettingsDiverged:
		return connect.CodeUnavailable
	}
	return connect.CodeInternal
}

// FaultOf returns the fault in the details of a connect error.
func FaultOf(err error) (*tamarackv1.Fault, bool) {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return nil, false
	}
	for _, detail := range connectErr.Details() {
		value, valueErr := detail.Value()
		if valueErr != nil {
			continue
		}
		if f, ok := value.(*tamarackv1.Fault); ok {
			return f, true
		}
	}
	return nil, false
}
