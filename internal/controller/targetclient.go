package controller

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/upstream"
	"tamarackreach/platform"
)

const (
	// controlTimeout bounds a report read or an order; targets answer both within
	// milliseconds and without using a slot.
	controlTimeout = 500 * time.Millisecond
	// reportIdleTimeout is how long an idle connection for reports is kept: three
	// times the interval at which a zone leader reads them.
	reportIdleTimeout = 3 * time.Second
	// maxReportBytes bounds the head and the body of a response.
	maxReportBytes = 1 << 20
)

// targetClient reads reports of targets and sends orders to them.
type targetClient struct {
	// reports reuses connections: reading a report is idempotent, so that the read may
	// be retried.
	reports *http.Client
	// connecting opens a connection for each request: for orders, so that none is sent on a
	// connection that the target is closing, and to learn whether a target is reached.
	connecting *http.Client
	dial       upstream.DialFunc
}

func newTargetClient(dial upstream.DialFunc) *targetClient {
	client := func(keepAlive bool) *http.Client {
		return &http.Client{Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				return dial(ctx, address)
			},
			DisableCompression: true, MaxResponseHeaderBytes: maxReportBytes, DisableKeepAlives: !keepAlive, MaxIdleConnsPerHost: 1, IdleConnTimeout: reportIdleTimeout,
		}}
	}
	return &targetClient{reports: client(true), connecting: client(false), dial: dial}
}

func (c *targetClient) report(ctx context.Context, address string) (*fleet.Report, error) {
	return c.reportBy(ctx, c.reports, address)
}

func (c *targetClient) reportBy(ctx context.Context, client *http.Client, address string) (*fleet.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+platform.ReportPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, "cannot create the report request")
	}
	answer, err := do(client, req)
	if err != nil {
		return nil, err
	}
	if answer.status != http.StatusOK {
		return nil, errors.Newf("report request to target %s returned status %d", address, answer.status)
	}
	report, err := platform.DecodeReport(answer.text)
	if err != nil {
		return nil, err
	}
	report.Leaving = platform.DecodeLeaving(answer.header)
	return report, nil
}

// order sends an order and returns the status code of the response.
func (c *targetClient) order(ctx context.Context, address string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+platform.OrderPath, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "cannot create the order request")
	}
	req.Header.Set("Content-Type", "application/json")
	answer, err := do(c.connecting, req)
	return answer.status, err
}

// controlAnswer is a target's response to a report request or an order.
type controlAnswer struct {
	status int
	header http.Header
	text   []byte
}

// do returns a whole response; its status is 0 when there is none.
func do(client *http.Client, req *http.Request) (controlAnswer, error) {
	resp, err := client.Do(req)
	if err != nil {
		return controlAnswer{}, errors.Wrap(err, "request to the target failed")
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	return controlAnswer{status: resp.StatusCode, header: resp.Header, text: text}, errors.Wrap(err, "cannot read the target's response")
}
