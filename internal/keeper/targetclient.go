package keeper

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
	// controlTimeout bounds a report or an order; targets answer both without a
	// slot, within milliseconds.
	controlTimeout = 500 * time.Millisecond
	// maxReportBytes bounds a report.
	maxReportBytes = 1 << 20
)

// targetClient reads reports and gives orders.
type targetClient struct{ http *http.Client }

func newTargetClient() *targetClient {
	return &targetClient{http: &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return upstream.Dialer{}.Dial(ctx, address)
		},
		DisableCompression: true,
		// Orders must not meet a connection that is being closed.
		DisableKeepAlives: true,
	}}}
}

func (c *targetClient) report(ctx context.Context, address string) (*fleet.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+platform.ReportPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, "cannot form the request for a report")
	}
	status, text, err := c.do(req)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, errors.Newf("target %s answered %d to the request for its report", address, status)
	}
	return platform.DecodeReport(text)
}

// order posts an order and returns the status of the answer.
func (c *targetClient) order(ctx context.Context, address string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+platform.OrderPath, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "cannot form an order")
	}
	req.Header.Set("Content-Type", "application/json")
	status, _, err := c.do(req)
	return status, err
}

func (c *targetClient) do(req *http.Request) (int, []byte, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, errors.Wrap(err, "the target did not answer")
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	return resp.StatusCode, text, errors.Wrap(err, "the target's answer broke off")
}
