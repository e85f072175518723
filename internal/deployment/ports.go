package deployment

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
)

const (
	firstFreePort = 20000
	freePortSpan  = 12000
	freePortTries = 100
	// portsPerEntry is the number of addresses that an entry VM listens on.
	portsPerEntry = 4
)

// Ports returns the number of ports that the shape needs.
func (s Shape) Ports() int {
	const platform = 1
	return platform + s.Engines + s.EngineProcesses + s.Services + portsPerEntry*s.Entries
}

// ChoosePorts sets the first port of a range that nothing listens on. A range
// that the shape names already is only checked.
func (s *Shape) ChoosePorts() error {
	if s.BasePort != 0 {
		return s.checkPorts()
	}
	step := s.Ports()
	for range freePortTries {
		s.BasePort = firstFreePort + rand.IntN(freePortSpan/step)*step
		if s.checkPorts() == nil {
			return nil
		}
	}
	return errors.Newf("no %d free ports in a row from %d on; name others with -base-port", step, firstFreePort)
}

// checkPorts looks at every TCP and UDP port of the range.
func (s *Shape) checkPorts() error {
	for port := s.BasePort; port < s.BasePort+s.Ports(); port++ {
		address := fmt.Sprintf("%s:%d", host, port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrapf(err, "port %d is in use; name another range with -base-port, or 0 to choose a free one", port)
		}
		_ = listener.Close()
		packets, err := net.ListenPacket("udp", address)
		if err != nil {
			return errors.Wrapf(err, "port %d is in use; name another range with -base-port, or 0 to choose a free one", port)
		}
		_ = packets.Close()
	}
	return nil
}
