// Package tcpstate reads the kernel's state of TCP connections.
package tcpstate

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// WasReset reports whether a connection whose read returned io.EOF was reset. The kernel
// reports a reset only once: if a concurrent write receives the error, a read then returns
// io.EOF, as if the other side had ended in order.
func WasReset(conn net.Conn) bool {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	var info *unix.TCPInfo
	var failed error
	err = raw.Control(func(fd uintptr) {
		info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return err != nil || failed != nil || info.State == unix.BPF_TCP_CLOSE
}
