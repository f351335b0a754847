package handover

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"
)

// SocketPath returns the path of a node's socket in a folder. The node is identified by its name and listening address.
func SocketPath(folder, name, listen string) string {
	h := fnv.New64a()
	h.Write([]byte(name + "\x00" + listen))
	return filepath.Join(folder, fmt.Sprintf("coursewinch-%016x.sock", h.Sum64()))
}

// Link carries messages between two processes. A message arrives whole, or Receive returns an error.
type Link struct {
	conn *net.UnixConn
	buf  []byte
}

// Listener waits for the successor to connect.
type Listener struct{ listener *net.UnixListener }

// Listen creates a socket at a path and replaces, in one step, the socket that another process has there: a caller always
// finds one of the two. It fails if the path exists and is not a socket.
func Listen(path string) (*Listener, error) {
	info, err := os.Lstat(path)
	if err == nil && info.Mode().Type() != fs.ModeSocket {
		return nil, fmt.Errorf("handover: %s is not a socket", path)
	}
	temp := path + ".new"
	if err := os.Remove(temp); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: temp, Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // the path may belong to another process when this one closes
	if err := errors.Join(os.Chmod(temp, 0o600), os.Rename(temp, path)); err != nil {
		l.Close()
		os.Remove(temp)
		return nil, err
	}
	return &Listener{l}, nil
}

// Accept waits until a process of the same user connects. It closes connections of other users.
func (l *Listener) Accept() (*Link, error) {
	for {
		c, err := l.listener.AcceptUnix()
		if err != nil {
			return nil, err
		}
		if sameUser(c) {
			return &Link{conn: c, buf: make([]byte, MaxMessageBytes+1)}, nil
		}
		c.Close()
	}
}

// Close stops accepting connections. The socket stays in the file system.
func (l *Listener) Close() error { return l.listener.Close() }

// Dial connects to the process that listens at a path. It fails if that process belongs to another user.
func Dial(path string, timeout time.Duration) (*Link, error) {
	c, err := (&net.Dialer{Timeout: timeout}).Dial("unixpacket", path)
	if err != nil {
		return nil, err
	}
	u := c.(*net.UnixConn)
	if !sameUser(u) {
		u.Close()
		return nil, errors.New("handover: the peer process belongs to another user")
	}
	return &Link{conn: u, buf: make([]byte, MaxMessageBytes+1)}, nil
}

// sameUser reports whether the peer process runs as the same user as this one.
func sameUser(c *net.UnixConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	var cred *unix.Ucred
	raw.Control(func(fd uintptr) { cred, err = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED) })
	return err == nil && cred.Uid == uint32(os.Getuid())
}

// SetTimeout limits how long receiving, and sending that waits, may take from now on. A duration of 0 removes the limit.
func (l *Link) SetTimeout(d time.Duration) {
	if d == 0 {
		l.conn.SetDeadline(time.Time{})
		return
	}
	l.conn.SetDeadline(time.Now().Add(d))
}

// SendBlocking sends a message, with sockets, and waits until there is room for it.
func (l *Link) SendBlocking(m *Message, sockets ...int) error {
	p, err := m.Encode()
	if err != nil {
		return err
	}
	_, _, err = l.conn.WriteMsgUnix(p, encodeRights(sockets), nil)
	return err
}

// Send sends a message, with sockets, without waiting. It fails if there is no room for the message now.
func (l *Link) Send(m *Message, sockets ...int) error {
	p, err := m.Encode()
	if err != nil {
		return err
	}
	raw, err := l.conn.SyscallConn()
	if err != nil {
		return err
	}
	var sent error
	err = raw.Control(func(fd uintptr) {
		sent = unix.Sendmsg(int(fd), p, encodeRights(sockets), nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
	})
	return errors.Join(err, sent)
}

// encodeRights encodes sockets as the control data of a message.
func encodeRights(sockets []int) []byte {
	if len(sockets) == 0 {
		return nil
	}
	return unix.UnixRights(sockets...)
}

// Receive waits for a message. The caller has to close the sockets that come with it. After an error there are none.
func (l *Link) Receive() (*Message, []int, error) {
	oob := make([]byte, unix.CmsgSpace(4*maxSockets))
	n, oobn, flags, _, err := l.conn.ReadMsgUnix(l.buf, oob)
	if errors.Is(err, unix.ECONNRESET) {
		// The peer has ended and left messages unread. The system reports that once, before the peer's last messages.
		n, oobn, flags, _, err = l.conn.ReadMsgUnix(l.buf, oob)
	}
	if err != nil {
		return nil, nil, err
	}
	sockets, err := decodeRights(oob[:oobn])
	if err == nil && (n == 0 && oobn == 0 || flags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) != 0) {
		err = errMalformed
	}
	var m *Message
	if err == nil {
		m, err = Decode(l.buf[:n], len(sockets))
	}
	if err != nil {
		for _, fd := range sockets {
			unix.Close(fd)
		}
		return nil, nil, err
	}
	return m, sockets, nil
}

// decodeRights decodes the sockets in the control data of a message. After an error it returns those decoded so far.
func decodeRights(oob []byte) (sockets []int, err error) {
	if len(oob) == 0 {
		return nil, nil
	}
	all, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return nil, err
	}
	for i := range all {
		fds, err := unix.ParseUnixRights(&all[i])
		if err != nil {
			return sockets, err
		}
		sockets = append(sockets, fds...)
	}
	return sockets, nil
}

// Close closes the link. The peer's Receive then fails.
func (l *Link) Close() error { return l.conn.Close() }
