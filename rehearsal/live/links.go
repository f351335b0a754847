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

// relay carries what one node sends another: the sender knows the receiver by the relay's address. What comes goes
// through the world, which does to it what the script says; what is let go leaves from the relay of the other direction,
// since that is the address by which the receiver knows the sender.
type relay struct {
	player   *player
	from, to int
	udp      *net.UDPConn
	addr     string
}

// openRelays makes a relay for each directed pair of nodes, and an address for each node to hear them at.
func (p *player) openRelays() error {
	n := len(p.nodes)
	p.relays = make([][]*relay, n)
	for from := range n {
		p.relays[from] = make([]*relay, n)
		addr, err := freeDatagramPort(loopbackIP(4, from))
		if err != nil {
			return err
		}
		p.nodes[from].linkAddr = addr
		for to := range n {
			if to == from {
				continue
			}
			c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(loopbackIP(5, to))})
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

// freeDatagramPort finds a port at an address that nothing uses.
func freeDatagramPort(ip string) (string, error) {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip)})
	if err != nil {
		return "", err
	}
	defer c.Close()
	return c.LocalAddr().String(), nil
}

// linkAddresses are a node's address for what others tell it, and where it reaches them, in order.
func (p *player) linkAddresses(no int) (listen string, others []string) {
	for to, r := range p.relays[no] {
		if to != no {
			others = append(others, r.addr)
		}
	}
	return p.nodes[no].linkAddr, others
}

// forward takes datagrams until the relay is closed.
func (r *relay) forward() {
	b := make([]byte, 64<<10)
	for {
		n, _, err := r.udp.ReadFromUDP(b)
		if err != nil {
			if r.player.isDone() {
				return
			}
			continue // the receiver is away
		}
		d := append([]byte(nil), b[:n]...)
		r.player.post(func() { r.player.world.Told(r.from, r.to, d) })
	}
}

func (p *player) isDone() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Datagram lets go what a node sent another.
func (p *player) Datagram(no, from int, d []byte) {
	at, err := net.ResolveUDPAddr("udp4", p.nodes[no].linkAddr)
	if err == nil {
		p.relays[no][from].udp.WriteToUDP(d, at)
	}
}

// Pause stops a node's process and lets it go on.
func (p *player) Pause(no int, on bool) {
	if on {
		p.nodes[no].signal(syscall.SIGSTOP)
	} else {
		p.nodes[no].signal(syscall.SIGCONT)
	}
}

// Clock is for virtual time: a process's own clock can't be changed from outside.
func (p *player) Clock(int, int64, float64) {
	p.fail(fmt.Errorf("clocks can be changed in virtual time only"))
}

// duplicateConfig is the file of a second process: it serves elsewhere, and has no address for operators.
func (n *process) duplicateConfig(conf fleet.Conf, listen string) string {
	text := strings.Replace(conf.JSON, strconv.Quote(conf.Listen), strconv.Quote(listen), 1)
	return strings.Replace(text, `"admin":`+strconv.Quote(n.adminAddr)+",", "", 1)
}

// Twin starts or ends a second process under a node's name and at its address for links. It serves nobody.
func (p *player) Twin(no int, conf fleet.Conf, on bool) {
	n := p.nodes[no]
	if t := n.duplicate; t != nil {
		t.Process.Kill()
		t.Wait()
		n.duplicate = nil
	}
	if !on {
		return
	}
	file := filepath.Join(p.folder, fmt.Sprintf("n-%d.twin.json", no))
	addr, err := freePort(loopbackIP(6, no))
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
