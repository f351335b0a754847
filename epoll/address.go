package epoll

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// parseAddress parses "ip:port" and returns it with its address family.
func parseAddress(text string) (unix.Sockaddr, int, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return nil, 0, err
	}
	ip := a.Addr().Unmap()
	if ip.Is4() {
		return &unix.SockaddrInet4{Port: int(a.Port()), Addr: ip.As4()}, unix.AF_INET, nil
	}
	return &unix.SockaddrInet6{Port: int(a.Port()), Addr: ip.As16()}, unix.AF_INET6, nil
}

// openStream creates a non-blocking TCP socket of the family of an address, and returns the parsed address as well.
func openStream(text string) (fd int, to unix.Sockaddr, err error) {
	to, family, err := parseAddress(text)
	if err != nil {
		return -1, nil, err
	}
	fd, err = unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	return fd, to, err
}

// localAddress returns the address that a socket is bound to.
func localAddress(fd int) (netip.AddrPort, error) {
	name, err := unix.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen: %w", err)
	}
	address := addrPort(name)
	if !address.IsValid() {
		return address, errors.New("listen: unknown kind of address")
	}
	return address, nil
}

// PeerAddress returns the address of a connected socket's other side. It is invalid if there is none.
func PeerAddress(fd int) netip.AddrPort {
	a, err := unix.Getpeername(fd)
	if err != nil {
		return netip.AddrPort{}
	}
	return addrPort(a)
}

// addrPort converts a socket address. The result is invalid for a family other than IPv4 and IPv6.
func addrPort(a unix.Sockaddr) netip.AddrPort {
	switch a := a.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port))
	}
	return netip.AddrPort{}
}
