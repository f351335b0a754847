package live

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"coursewinch/rehearsal/fleet"
)

// relay forwards the datagrams of one node to another. The sender knows the receiver by the relay's address. The
// datagrams go through the world, which applies the faults of the script. They are sent on from the relay of the
// opposite direction, because the receiver knows the sender by its address.
type relay struct {
	player   *player
	from, to int
	udp      *net.UDPConn
	addr     string
}

// openRelays opens a relay for each ordered pair of nodes, and reserves an address for each node to receive on.
func (p *player) openRelays() error {
	n := len(p.nodes)
	p.relays = make([][]*relay, n)
	for from := range n {
		p.relays[from] = make([]*relay, n)
		addr, err := freeDatagramPort(loopbackIP(linkIP, from))
		if err != nil {
			return err
		}
		p.nodes[from].linkAddr = addr
		for to := range n {
			if to == from {
				continue
			}
			c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(loopbackIP(relayIP, to))})
			if err != nil {
				return err
			}
			p.relays[from][to] = &relay{player: p, from: from, to: to, udp: c, addr: c.LocalAddr().String()}
		}
	}
	for _, row := range p.relays {
		for _, r := range row {
			if r != nil {
				go r.forward()
			}
		}
	}
	return nil
}

// freeDatagramPort finds a free UDP port at an IP address and returns both.
func freeDatagramPort(ip string) (string, error) {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip)})
	if err != nil {
		return "", err
	}
	defer c.Close()
	return c.LocalAddr().String(), nil
}

// linkAddresses returns the address on which a node receives datagrams, and the addresses of the other nodes in order.
func (p *player) linkAddresses(no int) (listen string, peers []string) {
	for to, r := range p.relays[no] {
		if to != no {
			peers = append(peers, r.addr)
		}
	}
	return p.nodes[no].linkAddr, peers
}

// forward hands received datagrams to the world until the relay is closed.
func (r *relay) forward() {
	b := make([]byte, 64<<10)
	for {
		n, _, err := r.udp.ReadFromUDP(b)
		if err != nil {
			if r.player.isDone() {
				return
			}
			continue // the receiver does not listen
		}
		d := append([]byte(nil), b[:n]...)
		r.player.post(func() { r.player.world.SendDatagram(r.from, r.to, d) })
	}
}

// isDone tells whether the run has ended.
func (p *player) isDone() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// ReceiveDatagram delivers a datagram of another node.
func (p *player) ReceiveDatagram(no, from int, d []byte) {
	receiver, err := net.ResolveUDPAddr("udp4", p.nodes[no].linkAddr)
	if err == nil {
		p.relays[no][from].udp.WriteToUDP(d, receiver)
	}
}

// SetPaused stops a node's process or lets it go on.
func (p *player) SetPaused(no int, on bool) {
	if on {
		p.nodes[no].signal(syscall.SIGSTOP)
	} else {
		p.nodes[no].signal(syscall.SIGCONT)
	}
}

// AdjustClock fails: a process's own clock cannot be changed from outside.
func (p *player) AdjustClock(int, int64, float64) {
	p.fail(fmt.Errorf("clocks can be changed in virtual time only"))
}

// duplicateConfig returns the configuration file of a second process. It listens on another address and has none for
// operators.
func (n *process) duplicateConfig(conf fleet.NodeConfig, listen string) string {
	text := strings.Replace(conf.JSON, strconv.Quote(conf.Listen), strconv.Quote(listen), 1)
	return strings.Replace(text, `"admin":`+strconv.Quote(n.adminAddr)+",", "", 1)
}

// SetDuplicate starts or ends a second process under a node's name and with its address for links. It has no clients.
func (p *player) SetDuplicate(no int, conf fleet.NodeConfig, on bool) {
	n := p.nodes[no]
	if old := n.duplicate; old != nil {
		old.Process.Kill()
		old.Wait()
		n.duplicate = nil
	}
	if !on {
		return
	}
	file := filepath.Join(p.folder, fmt.Sprintf("n-%d.twin.json", no))
	addr, err := freePort(loopbackIP(duplicateIP, no))
	if err == nil {
		err = os.WriteFile(file, []byte(n.duplicateConfig(conf, addr)), 0o600)
	}
	if err == nil {
		n.duplicate = exec.Command(p.options.Program)
		n.duplicate.Env = append(os.Environ(), "GW_CONFIG="+file)
		err = n.duplicate.Start()
	}
	if err != nil {
		n.duplicate = nil
		p.fail(err)
	}
}
