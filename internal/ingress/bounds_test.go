package ingress_test

import (
	"net"
	"net/http/httptest"
	"path"
	"runtime"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// specBound is longer than a request, a connection or the closing of a server of any spec takes,
// so that what is never answered fails the spec and not the whole package.
const specBound = 30 * time.Second

// dial opens a connection of a caller, whose reads and writes fail after specBound.
func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, specBound)
	if err != nil {
		return nil, err
	}
	return conn, conn.SetDeadline(time.Now().Add(specBound))
}

// closeServer closes a server, which waits for its handlers. The error of one that does not return
// tells where it is.
func closeServer(server *httptest.Server) error {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		server.Close()
	}()
	select {
	case <-closed:
		return nil
	case <-time.After(specBound):
		return errors.Newf("the server does not close; its connections and those of others:\n%s", servedConnections())
	}
}

// servedConnections returns where the goroutines are that serve connections, a line for each.
func servedConnections() string {
	text := make([]byte, 8<<20)
	text = text[:runtime.Stack(text, true)]
	var lines []string
	for goroutine := range strings.SplitSeq(string(text), "\n\n") {
		if !strings.Contains(goroutine, "net/http.(*conn).serve") {
			continue
		}
		var places []string
		for line := range strings.SplitSeq(goroutine, "\n") {
			if place, found := strings.CutPrefix(line, "\t"); found {
				places = append(places, path.Base(strings.Fields(place)[0]))
			}
		}
		lines = append(lines, strings.Join(places[:min(len(places), 16)], " < "))
	}
	return strings.Join(lines, "\n")
}
