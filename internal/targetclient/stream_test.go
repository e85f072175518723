package targetclient

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	. "github.com/onsi/gomega/gstruct"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/gen/tamarack/v1/tamarackv1connect"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/rpc"
)

// scriptedEngine accepts every attempt and sends the given frames on each token
// stream and the given reports on each watch.
type scriptedEngine struct {
	tamarackv1connect.UnimplementedEngineServiceHandler
	frames  []*tamarackv1.CollectResponse
	reports []*tamarackv1.WatchResponse
}

func (e *scriptedEngine) Start(context.Context, *connect.Request[tamarackv1.StartRequest]) (*connect.Response[tamarackv1.StartResponse], error) {
	return connect.NewResponse(&tamarackv1.StartResponse{}), nil
}

func (e *scriptedEngine) Collect(_ context.Context, _ *connect.Request[tamarackv1.CollectRequest], stream *connect.ServerStream[tamarackv1.CollectResponse]) error {
	for _, frame := range e.frames {
		if err := stream.Send(frame); err != nil {
			return err
		}
	}
	return nil
}

func (e *scriptedEngine) Watch(_ context.Context, _ *connect.Request[tamarackv1.WatchRequest], stream *connect.ServerStream[tamarackv1.WatchResponse]) error {
	for _, report := range e.reports {
		if err := stream.Send(report); err != nil {
			return err
		}
	}
	return nil
}

// startEngine serves an engine and returns its address.
func startEngine(engine tamarackv1connect.EngineServiceHandler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	mux := http.NewServeMux()
	mux.Handle(tamarackv1connect.NewEngineServiceHandler(engine))
	server := rpc.NewServer(mux)
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	return listener.Addr().String()
}

var _ = Describe("a token stream", func() {
	// Guards against tokens that reach another caller, or an attempt that is no longer
	// current, because a target sends them on the wrong stream. Such a frame must not
	// end the stream either.
	It("delivers only frames of its own attempt", func() {
		address := startEngine(&scriptedEngine{frames: []*tamarackv1.CollectResponse{
			{RequestId: "r2", Attempt: 2, Text: "of another request", Last: true},
			{RequestId: "r1", Attempt: 3, Text: "of another attempt", Last: true},
			{RequestId: "r1", Attempt: 2, Text: "own", Last: true},
		}})
		events := make(chan event.Event, 16)
		client := New(func(ev event.Event) { events <- ev }, func() model.Instant { return 0 })
		client.Open(event.OpenChain{
			Request: "r1", Attempt: 2, Chain: []model.Hop{{Target: "t1", Address: address}},
		})
		Eventually(events).WithTimeout(5 * time.Second).Should(Receive(PointTo(MatchFields(IgnoreExtras, Fields{
			"Request": BeEquivalentTo("r1"), "Attempt": BeEquivalentTo(2), "Text": Equal("own"),
		}))))
		Consistently(events).Should(BeEmpty())
	})
})

var _ = Describe("a watch", func() {
	// Guards against a target that counts as alive because another one, which now has
	// the address of a removed VM, reports on that VM's watch.
	It("delivers only reports of its own target", func() {
		address := startEngine(&scriptedEngine{reports: []*tamarackv1.WatchResponse{
			{TargetId: "t2", Sequence: 1}, {TargetId: "t1", Sequence: 2},
		}})
		events := make(chan event.Event, 16)
		client := New(func(ev event.Event) { events <- ev }, func() model.Instant { return 0 })
		client.Watch(event.WatchTarget{Target: "t1", Address: address, Watch: 7})
		var received event.Event
		Eventually(events).WithTimeout(5 * time.Second).Should(Receive(&received))
		Expect(received).To(MatchFields(IgnoreExtras, Fields{
			"Target": BeEquivalentTo("t1"), "Sequence": BeEquivalentTo(2), "Watch": BeEquivalentTo(7),
		}))
		Eventually(events).Should(Receive(BeAssignableToTypeOf(event.TargetLost{})))
	})
})
