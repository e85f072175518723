// Package e2e tests the guarantees of tamarack-entry on real processes.
package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/gen/tamarack/v1/tamarackv1connect"
	"tamarackreach/internal/deployment"
	"tamarackreach/internal/load"
	"tamarackreach/internal/model"
	"tamarackreach/internal/rpc"
)

func TestE2E(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "e2e")
}

// cluster is a deployment of real processes that one spec uses.
type cluster struct {
	*deployment.Deployment
	dir       string
	driver    *load.Driver
	processes map[string]*exec.Cmd
	http      connect.HTTPClient
}

// smallShape returns a deployment shape with a fixed number of engines for each of
// three stages, so that chains are predictable.
func smallShape(enginesPerStage int) deployment.Shape {
	shape := deployment.LinhaDourada(freePorts())
	shape.Stages = 3
	shape.Engines = shape.Stages * enginesPerStage
	shape.EngineProcesses = 1
	shape.Layers = 12
	shape.Workspaces = 2
	return shape
}

// freePorts returns the first port of a free range of 100 ports.
func freePorts() int {
	const first, span, tries, step = 20000, 12000, 50, 100
	for range tries {
		base := first + rand.IntN(span/step)*step
		if portsFree(base, step) {
			return base
		}
	}
	Fail("no free ports")
	return 0
}

// portsFree reports whether nothing listens on any port of a range.
func portsFree(base, count int) bool {
	for port := base; port < base+count; port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// startCluster starts every process of a shape and applies the first settings. All
// processes are stopped when the spec ends.
func startCluster(ctx context.Context, shape deployment.Shape) *cluster {
	bin := os.Getenv("TAMARACK_BIN")
	if bin == "" {
		Skip("TAMARACK_BIN is not set; run make test")
	}
	dir := GinkgoT().TempDir()
	d, err := deployment.Write(shape, dir)
	Expect(err).NotTo(HaveOccurred())
	c := &cluster{
		Deployment: d, dir: dir, driver: load.New(d, GinkgoWriter),
		processes: make(map[string]*exec.Cmd), http: rpc.NewClient(),
	}
	DeferCleanup(c.stop)
	for _, process := range d.Processes {
		c.start(process.Name)
	}
	Expect(c.driver.SetUp(ctx)).To(Succeed(), c.logs)
	return c
}

// start starts or restarts a process of the deployment.
func (c *cluster) start(name string) {
	for _, process := range c.Processes {
		if process.Name != name {
			continue
		}
		log, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		Expect(err).NotTo(HaveOccurred())
		command := exec.Command(filepath.Join(os.Getenv("TAMARACK_BIN"), process.Program), process.Args...)
		command.Stdout = log
		command.Stderr = log
		Expect(command.Start()).To(Succeed())
		_ = log.Close()
		c.processes[name] = command
		return
	}
	Fail("no process " + name)
}

// signal sends a signal to a process.
func (c *cluster) signal(name string, signal syscall.Signal) {
	Expect(c.processes[name].Process.Signal(signal)).To(Succeed())
}

// kill sends SIGKILL to a process and waits for its exit.
func (c *cluster) kill(name string) {
	c.signal(name, syscall.SIGKILL)
	_ = c.processes[name].Wait()
	delete(c.processes, name)
}

func (c *cluster) stop() {
	for _, command := range c.processes {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		_ = command.Wait()
	}
}

func (c *cluster) logs() string {
	var text string
	files, _ := filepath.Glob(filepath.Join(c.dir, "*.log"))
	for _, file := range files {
		data, _ := os.ReadFile(file)
		text += filepath.Base(file) + ":\n" + string(data)
	}
	return text
}

func (c *cluster) control(address string) tamarackv1connect.ControlServiceClient {
	return tamarackv1connect.NewControlServiceClient(c.http, "http://"+address)
}

func (c *cluster) setFaults(ctx context.Context, address string, faults *tamarackv1.Faults) {
	_, err := c.control(address).SetFaults(ctx, connect.NewRequest(&tamarackv1.SetFaultsRequest{Faults: faults}))
	Expect(err).NotTo(HaveOccurred())
}

func (c *cluster) caller(entry int) tamarackv1connect.CallerServiceClient {
	return tamarackv1connect.NewCallerServiceClient(c.http, "http://"+c.Entries[entry].Caller)
}

func (c *cluster) operator(entry int) tamarackv1connect.OperatorServiceClient {
	return tamarackv1connect.NewOperatorServiceClient(c.http, "http://"+c.Entries[entry].Operator)
}

func (c *cluster) table() tamarackv1connect.TableServiceClient {
	return tamarackv1connect.NewTableServiceClient(c.http, "http://"+c.Platform)
}

const workspace model.WorkspaceID = "callcentre-1"

// asWorkspace adds a workspace's key to a message.
func asWorkspace[T any](c *cluster, id model.WorkspaceID, message *T) *connect.Request[T] {
	return withToken(message, c.Workspaces[id])
}

// asTeam adds a team's token to a message.
func asTeam[T any](c *cluster, id model.TeamID, message *T) *connect.Request[T] {
	return withToken(message, c.Teams[id])
}

func withToken[T any](message *T, token string) *connect.Request[T] {
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+token)
	return request
}

// answer is the result that a caller receives for a model request.
type answer struct {
	tokens []*tamarackv1.GenerateResponse
	fault  *tamarackv1.Fault
	err    error
}

// generate sends a model request and collects its complete answer.
func (c *cluster) generate(ctx context.Context, entry int, message *tamarackv1.GenerateRequest) answer {
	var a answer
	stream, err := c.caller(entry).Generate(ctx, asWorkspace(c, workspace, message))
	if err == nil {
		defer func() { _ = stream.Close() }()
		for stream.Receive() {
			a.tokens = append(a.tokens, stream.Msg())
		}
		err = stream.Err()
	}
	a.err = err
	a.fault, _ = rpc.FaultOf(err)
	return a
}
