// Package platformclient executes the reducer's effects on the platform: the table
// service, the object store and the list of VMs.
package platformclient

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/gen/tamarack/v1/tamarackv1connect"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/rpc"
)

// callTimeout bounds one call to the platform.
const callTimeout = 2 * time.Second

// ZoneHeader is the request header with the zone of the caller.
const ZoneHeader = "Tamarack-Zone"

// Client sends requests to the platform.
type Client struct {
	post    func(event.Event)
	table   tamarackv1connect.TableServiceClient
	objects tamarackv1connect.ObjectServiceClient
	vms     tamarackv1connect.VmServiceClient
}

// New returns a client of the platform at an address. Results are passed to post.
func New(address string, zone model.AvailabilityZone, post func(event.Event)) *Client {
	http := rpc.NewClient()
	base := "http://" + address
	options := connect.WithInterceptors(zoneInterceptor(zone))
	return &Client{
		post:    post,
		table:   tamarackv1connect.NewTableServiceClient(http, base, options),
		objects: tamarackv1connect.NewObjectServiceClient(http, base, options),
		vms:     tamarackv1connect.NewVmServiceClient(http, base, options),
	}
}

func zoneInterceptor(zone model.AvailabilityZone) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			request.Header().Set(ZoneHeader, string(zone))
			return next(ctx, request)
		}
	}
}

// run makes one call in the background and posts the resulting event.
func (c *Client) run(call func(context.Context) event.Event) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		c.post(call(ctx))
	}()
}

// Transact sends a table transaction.
func (c *Client) Transact(effect event.Transact) {
	request := &tamarackv1.TransactRequest{TransactionId: effect.Transaction}
	for _, condition := range effect.Conditions {
		request.Conditions = append(request.Conditions, &tamarackv1.RowCondition{Key: condition.Key, Version: uint64(condition.Version)})
	}
	for _, write := range effect.Writes {
		request.Writes = append(request.Writes, &tamarackv1.RowWrite{Key: write.Key, Value: write.Value, Delete: write.Delete})
	}
	c.run(func(ctx context.Context) event.Event {
		response, err := c.table.Transact(ctx, connect.NewRequest(request))
		if err != nil {
			return event.TransactionUnknown{Transaction: effect.Transaction, Reason: err.Error(), NotSent: isRateLimited(err)}
		}
		return event.TransactionDone{
			Transaction: effect.Transaction,
			Committed:   response.Msg.Committed,
			Version:     model.RowVersion(response.Msg.Version),
			Conflicts:   rowsOf(response.Msg.Conflicts),
		}
	})
}

// isRateLimited reports whether the table service itself rejected the transaction
// because of its rate limit.
func isRateLimited(err error) bool {
	var connectErr *connect.Error
	return errors.As(err, &connectErr) && connect.IsWireError(err) && connectErr.Code() == connect.CodeResourceExhausted
}

// ReadRows reads table rows.
func (c *Client) ReadRows(effect event.ReadRows) {
	request := &tamarackv1.ReadRowsRequest{
		Keys: effect.Keys, Prefix: effect.Prefix, StartKey: effect.StartKey, Limit: effect.Limit,
	}
	c.run(func(ctx context.Context) event.Event {
		response, err := c.table.ReadRows(ctx, connect.NewRequest(request))
		if err != nil {
			return event.ReadFailed{Read: effect.Read, Reason: err.Error()}
		}
		return event.RowsRead{Read: effect.Read, Rows: rowsOf(response.Msg.Rows)}
	})
}

// ReadRow reads one row and blocks until it has it; the version of an absent row
// is 0.
func (c *Client) ReadRow(ctx context.Context, key string) (model.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := c.table.ReadRows(ctx, connect.NewRequest(&tamarackv1.ReadRowsRequest{Keys: []string{key}}))
	if err != nil {
		return model.Row{}, errors.Wrapf(err, "read row %s", key)
	}
	rows := rowsOf(response.Msg.Rows)
	if len(rows) != 1 {
		return model.Row{}, errors.Newf("read row %s: got %d rows", key, len(rows))
	}
	return rows[0], nil
}

// ReadObject reads an object.
func (c *Client) ReadObject(effect event.ReadObject) {
	c.run(func(ctx context.Context) event.Event {
		response, err := c.objects.GetObject(ctx, connect.NewRequest(&tamarackv1.GetObjectRequest{Key: effect.Key}))
		if err != nil {
			return event.ObjectRead{Key: effect.Key, Failed: connect.CodeOf(err) != connect.CodeNotFound}
		}
		return event.ObjectRead{Key: effect.Key, Body: response.Msg.Body, Found: true}
	})
}

// WriteObject writes an object.
func (c *Client) WriteObject(effect event.WriteObject) {
	c.run(func(ctx context.Context) event.Event {
		_, err := c.objects.PutObject(ctx, connect.NewRequest(&tamarackv1.PutObjectRequest{Key: effect.Key, Body: effect.Body}))
		return event.ObjectWritten{Key: effect.Key, Failed: err != nil}
	})
}

// ListVMs reads the list of VMs.
func (c *Client) ListVMs(event.ListVMs) {
	c.run(func(ctx context.Context) event.Event {
		response, err := c.vms.ListVms(ctx, connect.NewRequest(&tamarackv1.ListVmsRequest{}))
		if err != nil {
			return event.VMsListed{Failed: true}
		}
		listed := event.VMsListed{VMs: make([]event.VM, 0, len(response.Msg.Vms))}
		for _, vm := range response.Msg.Vms {
			listed.VMs = append(listed.VMs, VMOf(vm))
		}
		return listed
	})
}

// VMOf converts a message to an entry of the list of VMs.
func VMOf(vm *tamarackv1.Vm) event.VM {
	return event.VM{
		ID:          vm.Id,
		Incarnation: model.Incarnation(vm.Incarnation),
		Zone:        model.AvailabilityZone(vm.Zone),
		Role:        event.Role(vm.Role),
		Address:     vm.Address,
		PeerAddress: vm.PeerAddress,
		Accelerator: model.AcceleratorKind(vm.Accelerator),
		Leaving:     vm.Leaving,
	}
}

func rowsOf(rows []*tamarackv1.Row) []model.Row {
	converted := make([]model.Row, 0, len(rows))
	for _, row := range rows {
		converted = append(converted, model.Row{Key: row.Key, Value: row.Value, Version: model.RowVersion(row.Version)})
	}
	return converted
}
