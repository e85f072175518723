package capacity_test

import (
	"context"
	"net"
	"testing"

	"connectrpc.com/connect"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/gen/tamarack/v1/tamarackv1connect"
	"tamarackreach/internal/rpc"
)

// tokenServer answers a request with MaxTokens tokens.
type tokenServer struct {
	tamarackv1connect.UnimplementedCallerServiceHandler
}

func (tokenServer) Generate(_ context.Context, request *connect.Request[tamarackv1.GenerateRequest], stream *connect.ServerStream[tamarackv1.GenerateResponse]) error {
	token := &tamarackv1.GenerateResponse{Text: "token"}
	for i := range stages {
		token.Receipts = append(token.Receipts, &tamarackv1.Receipt{
			TargetId: string(engineID(i)), Version: "v1", Layers: &tamarackv1.LayerRange{First: layersOf(i).First, End: layersOf(i).End},
		})
	}
	for i := range request.Msg.MaxTokens {
		token.Index = i
		if err := stream.Send(token); err != nil {
			return err
		}
	}
	return nil
}

// BenchmarkTokenStream measures one token over one hop, server and client
// together: with the library's default, which compresses every message, and
// without compression of messages shorter than a kilobyte.
func BenchmarkTokenStream(b *testing.B) {
	const shortMessage = 1024
	cases := []struct {
		name    string
		options []connect.HandlerOption
	}{
		{"compressed", nil},
		{"plain", []connect.HandlerOption{connect.WithCompressMinBytes(shortMessage)}},
	}
	for _, one := range cases {
		b.Run(one.name, func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			_, handler := tamarackv1connect.NewCallerServiceHandler(tokenServer{}, one.options...)
			server := rpc.NewServer(handler)
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			client := tamarackv1connect.NewCallerServiceClient(rpc.NewClient(), "http://"+listener.Addr().String())
			b.ReportAllocs()
			b.ResetTimer()
			stream, err := client.Generate(context.Background(), connect.NewRequest(&tamarackv1.GenerateRequest{MaxTokens: uint32(b.N)}))
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = stream.Close() }()
			for stream.Receive() {
				continue
			}
			if stream.Err() != nil {
				b.Fatal(stream.Err())
			}
		})
	}
}
