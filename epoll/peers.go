package epoll

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

const datagrams = 64 // a turn; the rest waits in the socket or is lost

// Datagrams takes other nodes' datagrams at an address and returns the one it got; told hears of each in a turn. Two
// processes of one node may listen there while a version is rolled.
func (l *Loop) Datagrams(text string, told func(from netip.AddrPort, p []byte)) (netip.AddrPort, error) {
	at, family, err := address(text)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("peers %q: %w", text, err)
	}
	fd, err := unix.Socket(family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("peers %q: %w", text, err)
	}
	if err := errors.Join(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1), unix.Bind(fd, at),
		l.control(unix.EPOLL_CTL_ADD, fd, unix.EPOLLIN, peerNo, 0)); err != nil {
		unix.Close(fd)
		return netip.AddrPort{}, fmt.Errorf("peers %q: %w", text, err)
	}
	l.peers, l.told = fd, told
	return bound(fd)
}

// Tell sends a datagram; it may be lost, here as well as on its way.
func (l *Loop) Tell(to netip.AddrPort, p []byte) {
	if at, _, err := address(to.String()); err == nil && l.peers >= 0 {
		unix.Sendto(l.peers, p, unix.MSG_DONTWAIT, at)
	}
}

func (l *Loop) receive() {
	for range datagrams {
		n, from, err := unix.Recvfrom(l.peers, l.scratch[:], unix.MSG_DONTWAIT)
		if err == unix.EINTR || err == unix.ECONNREFUSED { // a peer that is away, told of what was sent there
			continue
		}
		if err != nil {
			return
		}
		l.told(addrPort(from), l.scratch[:n])
	}
}
