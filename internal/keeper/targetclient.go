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
	// reportIdle is how long a connection for reports is kept: three of the
	// intervals at which a zone's lead reads them.
	reportIdle = 3 * time.Second
	// maxReportBytes bounds a report.
	maxReportBytes = 1 << 20
)

// targetClient reads reports and gives orders.
type targetClient struct {
	// reports keeps connections: a report that is asked for twice does no harm.
	reports *http.Client
	// orders opens one for each order, which must not meet one that is closing.
	orders *http.Client
}

func newTargetClient() *targetClient {
	transport := func(keep bool) *http.Client {
		return &http.Client{Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				return upstream.Dialer{}.Dial(ctx, address)
			},
			DisableCompression: true, DisableKeepAlives: !keep, MaxIdleConnsPerHost: 1, IdleConnTimeout: reportIdle,
		}}
	}
	return &targetClient{reports: transport(true), orders: transport(false)}
}

func (c *targetClient) report(ctx context.Context, address string) (*fleet.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+platform.ReportPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, "cannot form the request for a report")
	}
	status, text, err := do(c.reports, req)
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
	status, _, err := do(c.orders, req)
	return status, err
}

func do(client *http.Client, req *http.Request) (int, []byte, error) {
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, errors.Wrap(err, "the target did not answer")
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	return resp.StatusCode, text, errors.Wrap(err, "the target's answer broke off")
}
