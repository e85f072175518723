package deployment

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
)

const (
	portRangeStart    = 20000
	portRangeSize     = 12000
	portRangeAttempts = 100
	// portsPerEntry is the number of addresses that an entry VM listens on.
	portsPerEntry = 4
)

// Ports returns the number of ports that the shape needs.
func (s Shape) Ports() int {
	const platform = 1
	return platform + s.Engines + s.EngineProcesses + s.Services + portsPerEntry*s.Entries
}

// ChoosePorts sets BasePort to the start of a random range of ports that are all
// free. If BasePort is already set, it only checks that the range is free.
func (s *Shape) ChoosePorts() error {
	if s.BasePort != 0 {
		return s.checkPorts()
	}
	step := s.Ports()
	for range portRangeAttempts {
		s.BasePort = portRangeStart + rand.IntN(portRangeSize/step)*step
		if s.checkPorts() == nil {
			return nil
		}
	}
	return errors.Newf("no range of %d free ports found from %d on; name another range with -base-port", step, portRangeStart)
}

// checkPorts returns an error if a TCP or UDP port of the range is in use.
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
