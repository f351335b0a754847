package epoll

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// ErrAddressTaken is that another process has an address.
var ErrAddressTaken = errors.New("another process has it")

// CloseDatagrams gives the address up.
func (l *Loop) CloseDatagrams() {
	if l.datagramFD >= 0 {
		unix.Close(l.datagramFD)
		l.datagramFD = -1
	}
}

const maxDatagrams = 64 // a turn; the rest waits in the socket or is lost

// ListenDatagrams takes other nodes' datagrams at an address and returns the one it got; told hears of each in a turn. Two
// processes of one node may listen there while a version is rolled, but where the address is to be one process's alone:
// then ErrTaken says that another has it.
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

// SendDatagram sends a datagram; it may be lost, here as well as on its way.
func (l *Loop) SendDatagram(to netip.AddrPort, datagram []byte) {
	if address, _, err := parseAddress(to.String()); err == nil && l.datagramFD >= 0 {
		unix.Sendto(l.datagramFD, datagram, unix.MSG_DONTWAIT, address)
	}
}

func (l *Loop) receiveDatagrams() {
	for range maxDatagrams {
		if l.datagramFD < 0 {
			return
		}
		n, from, err := unix.Recvfrom(l.datagramFD, l.scratch[:], unix.MSG_DONTWAIT)
		if err == unix.EINTR || err == unix.ECONNREFUSED { // a peer that is away, told of what was sent there
			continue
		}
		if err != nil {
			return
		}
		l.onDatagram(addrPort(from), l.scratch[:n])
	}
}
