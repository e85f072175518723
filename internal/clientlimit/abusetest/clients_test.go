package abusetest_test

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"tamarackreach/platform/platformtest"
)

// place is where misbehaving clients send their requests.
type place struct {
	name  string
	ready bool
	// post, get and stream are the paths of requests with a body, without one and with a
	// long response.
	post, get, stream string
	// body is the size of a body that is kept open. The ready listener closes connections
	// with a longer one than this even without limits.
	body int
}

var (
	routed       = place{name: "a routed path", post: "/p/x", get: "/r/x", stream: "/s/x", body: maxBodyBytes}
	withoutRoute = place{name: "a path without a route", post: "/none", get: "/none", stream: "/none", body: maxBodyBytes}
	readiness    = place{name: "the ready listener", ready: true, post: "/", get: "/", stream: "/", body: maxBodyBytes / 8}
)

// load is a number of misbehaving clients, which stay connected until close.
type load struct {
	address string
	place   place
	stop    chan struct{}
	// running counts all clients, sending those that have not yet sent their load.
	running, sending sync.WaitGroup
	// half counts the clients that have not yet sent the first part of an over-long body.
	half  sync.WaitGroup
	mu    sync.Mutex
	conns []*net.TCPConn
}

// client is one misbehaving client.
type client struct {
	*load
	conn   *net.TCPConn
	number int
	// sent and sentHalf end the client's part in load.sending and load.half.
	sent, sentHalf func()
}

const (
	loadTimeout = 20 * time.Second
	// halfTimeout bounds the wait for other clients' bodies.
	halfTimeout = 8 * time.Second
	// settleTime lets the process read what is in the buffers of the kernel.
	settleTime = 1500 * time.Millisecond
	// slowInterval is the time between two bytes of a slow client.
	slowInterval = 100 * time.Millisecond
)

// startLoad starts clients that each run send. It returns when all have sent their load,
// at the latest after loadTimeout.
func startLoad(f *front, p place, clients int, send func(*client)) *load {
	l := &load{address: platformtest.ClientAddress(f.host), place: p, stop: make(chan struct{})}
	if p.ready {
		l.address = platformtest.ReadyAddress(f.host)
	}
	l.running.Add(clients)
	l.sending.Add(clients)
	l.half.Add(clients)
	for n := range clients {
		go l.run(n, send)
	}
	waitAtMost(&l.sending, loadTimeout)
	time.Sleep(settleTime)
	return l
}

func (l *load) run(number int, send func(*client)) {
	defer l.running.Done()
	sent := sync.OnceFunc(l.sending.Done)
	defer sent()
	half := sync.OnceFunc(l.half.Done)
	defer half()
	conn, err := net.DialTimeout("tcp4", l.address, loadTimeout)
	if err != nil {
		return // a refused connection is allowed
	}
	tcp := conn.(*net.TCPConn)
	l.mu.Lock()
	l.conns = append(l.conns, tcp)
	l.mu.Unlock()
	_ = tcp.SetWriteDeadline(time.Now().Add(loadTimeout)) // fails for a closed connection only
	send(&client{load: l, conn: tcp, number: number, sent: sent, sentHalf: half})
}

// connected returns the number of connections that were opened.
func (l *load) connected() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// close closes all connections and awaits the clients.
func (l *load) close() {
	close(l.stop)
	l.mu.Lock()
	for _, conn := range l.conns {
		_ = conn.SetLinger(0) // leaves no connection in TIME_WAIT
		_ = conn.Close()
	}
	l.mu.Unlock()
	l.running.Wait()
}

// waitAtMost awaits a group for a limited time.
func waitAtMost(group *sync.WaitGroup, limit time.Duration) {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(limit):
	}
}

// head returns the head of a request with an id and further fields.
func head(method, path, id string, fields ...string) string {
	lines := append([]string{
		method + " " + path + " HTTP/1.1", "Host: h", "Authorization: Token key", "Tamarackreach-Attempt-Id: " + id,
	}, fields...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// write sends text and reports whether it was sent; the process may close the connection.
func (c *client) write(text string) bool {
	_, err := c.conn.Write([]byte(text))
	return err == nil
}

var (
	body = strings.Repeat("x", maxBodyBytes)
	// chunk is a whole chunk of an encoded body.
	chunk = fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, body[:chunkBytes])
)

const (
	pieceBytes = 1 << 10
	chunkBytes = 4 << 10
	// wholeEvery is the share of the clients that complete their body.
	wholeEvery = 10
)

// bodyEnd returns the length up to which the client sends its body.
func (c *client) bodyEnd() int {
	if c.number%wholeEvery == 0 {
		return c.place.body
	}
	return c.place.body - 1
}

func (c *client) postLength(length int, fields ...string) string {
	return head("POST", c.place.post, nextID(), append(fields, fmt.Sprint("Content-Length: ", length))...)
}

func (c *client) postChunked() string {
	return head("POST", c.place.post, nextID(), "Transfer-Encoding: chunked")
}

func bodyInOnePiece(c *client) { c.write(c.postLength(c.place.body) + body[:c.bodyEnd()]) }

func bodyInSmallPieces(c *client) {
	c.write(c.postLength(c.place.body))
	for at := 0; at < c.bodyEnd(); at += pieceBytes {
		if !c.write(body[at:min(at+pieceBytes, c.bodyEnd())]) {
			return
		}
	}
}

func bodyInChunks(c *client) {
	c.write(c.postChunked())
	for at := 0; at+chunkBytes < c.place.body; at += chunkBytes {
		if !c.write(chunk) {
			return
		}
	}
	c.write(chunk[:len(chunk)-3]) // one byte of the data and the end are missing
	if c.bodyEnd() == c.place.body {
		c.write(chunk[len(chunk)-3:] + "0\r\n\r\n")
	}
}

// overlong is the size of a body far over the limit; overlongSent is how much of it is sent.
const (
	overlong     = 64 * maxBodyBytes
	overlongSent = 8 * maxBodyBytes
	// declaredEvery is the share of the clients that declare the length.
	declaredEvery = 10
)

// bodyOverLimit sends a body of a legal size less one chunk, and goes on when all clients have
// done so.
func bodyOverLimit(c *client) {
	text, start := chunk, c.postChunked()
	if c.number%declaredEvery == 0 {
		text, start = body[:chunkBytes], c.postLength(overlong)
	}
	ok := c.write(start)
	for at := 0; at+chunkBytes < c.place.body && ok; at += chunkBytes {
		ok = c.write(text)
	}
	c.sentHalf()
	waitAtMost(&c.half, halfTimeout)
	for at := 0; at < overlongSent && ok; at += chunkBytes {
		ok = c.write(text)
	}
}

// shortFields returns fields of the shortest different names that have a length in all.
func shortFields(length int) []string {
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	names := []string{""}
	var fields []string
	for at, left := 0, length; ; at++ {
		for _, d := range digits {
			name := names[at] + string(d)
			names = append(names, name)
			if left -= len(name) + len(":\r\n"); left < 0 {
				return fields
			}
			if name != "te" { // applies to one connection
				fields = append(fields, name+":")
			}
		}
	}
}

// headMargin is the part of the largest head that the ordinary fields take.
const headMargin = 512

// manyShortFields sends the largest legal head and a body that stops short of its end.
func manyShortFields(c *client) {
	c.write(c.postLength(2, shortFields(maxHeaderBytes-headMargin)...) + "x")
}

const (
	// manyPipelined clients send pipelined requests, fewPipelined each of the others.
	manyPipelined, fewPipelined = 400, 10
	manyPipelinedEvery          = 12
	longID                      = 1000
)

// pipelined sends many requests and reads no response. The responses repeat the long ids.
func pipelined(c *client) {
	count := fewPipelined
	if c.number%manyPipelinedEvery == 0 {
		count = manyPipelined
	}
	for range count {
		if !c.write(head("GET", c.place.get, nextID()+strings.Repeat("i", longID))) {
			return
		}
	}
}

// trickle sends text in single bytes until it is sent or the test ends.
func (c *client) trickle(text string) {
	c.sent()
	for i := range len(text) {
		select {
		case <-c.stop:
			return
		case <-time.After(slowInterval):
		}
		_ = c.conn.SetWriteDeadline(time.Now().Add(loadTimeout)) // fails for a closed connection only
		if !c.write(text[i : i+1]) {
			return
		}
	}
}

// slowSender sends its head or its body in single bytes.
func slowSender(c *client) {
	text := c.postLength(pieceBytes)
	if c.number%2 == 0 && !c.write(text) {
		return
	}
	if c.number%2 == 0 {
		text = body[:pieceBytes]
	}
	c.trickle(text)
}

const (
	// smallWindow is the size of the receive buffer of a client that does not read.
	smallWindow = 2048
	// readerID makes responses long, readerRequests is the number of pipelined requests.
	readerID, readerRequests = 24 << 10, 8
)

// slowReader reads the response to a stream, or to several long plain requests, in single
// bytes.
func slowReader(c *client) {
	_ = c.conn.SetReadBuffer(smallWindow) // fails for a closed connection only
	if c.number%2 == 0 {
		c.write(head("POST", c.place.stream, nextID(), "Content-Length: 0"))
	} else {
		for range readerRequests {
			if !c.write(head("GET", c.place.get, nextID()+strings.Repeat("i", readerID))) {
				break
			}
		}
	}
	c.sent()
	for one := make([]byte, 1); ; {
		select {
		case <-c.stop:
			return
		case <-time.After(slowInterval):
		}
		if _, err := c.conn.Read(one); err != nil {
			return
		}
	}
}

// halfWay stops in the middle of the head or of the body.
func halfWay(c *client) {
	text := c.postLength(2 * pieceBytes)
	if c.number%2 == 0 {
		c.write(text[:len(text)/2])
		return
	}
	c.write(text + body[:pieceBytes])
}
