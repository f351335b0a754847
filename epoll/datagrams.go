package epoll

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// ErrAddressTaken is returned if another process is bound to the address.
var ErrAddressTaken = errors.New("another process has it")

const maxDatagrams = 64 // of one iteration; the rest waits in the socket's buffer or is lost

// ListenDatagrams receives other nodes' datagrams at an address, calls onDatagram for each, and returns the address
// that was bound. Two processes of one node may share the address while a version is rolled. If exclusive, only one
// process may be bound to it, and ErrAddressTaken is returned if another one is.
func (l *Loop) ListenDatagrams(text string, exclusive bool, onDatagram func(from netip.AddrPort, p []byte)) (netip.AddrPort, error) {
	address, family, err := parseAddress(text)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("peers %q: %w", text, err)
	}
	fd, err := unix.Socket(family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("peers %q: %w", text, err)
	}
	shared := 1
	if exclusive {
		shared = 0
	}
	err = errors.Join(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, shared), unix.Bind(fd, address))
	if err == nil {
		err = l.epollCtl(unix.EPOLL_CTL_ADD, fd, unix.EPOLLIN, datagramTag, 0)
	}
	if err != nil {
		unix.Close(fd)
		if errors.Is(err, unix.EADDRINUSE) {
			err = ErrAddressTaken
		}
		return netip.AddrPort{}, fmt.Errorf("peers %q: %w", text, err)
	}
	l.datagramFD, l.onDatagram = fd, onDatagram
	return localAddress(fd)
}

// CloseDatagrams closes the datagram socket, so that another process can bind its address.
func (l *Loop) CloseDatagrams() {
	if l.datagramFD >= 0 {
		unix.Close(l.datagramFD)
		l.datagramFD = -1
	}
}

// SendDatagram sends a datagram without waiting. It may be lost, also on this machine.
func (l *Loop) SendDatagram(to netip.AddrPort, datagram []byte) {
	if address, _, err := parseAddress(to.String()); err == nil && l.datagramFD >= 0 {
		unix.Sendto(l.datagramFD, datagram, unix.MSG_DONTWAIT, address)
	}
}

// receiveDatagrams passes on the datagrams that have arrived, at most maxDatagrams.
func (l *Loop) receiveDatagrams() {
	for range maxDatagrams {
		if l.datagramFD < 0 {
			return
		}
		n, from, err := unix.Recvfrom(l.datagramFD, l.scratch[:], unix.MSG_DONTWAIT)
		if err == unix.EINTR || err == unix.ECONNREFUSED { // refused: an earlier datagram reached no socket of its peer
			continue
		}
		if err != nil {
			return
		}
		l.onDatagram(addrPort(from), l.scratch[:n])
	}
}
