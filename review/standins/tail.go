package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["2"] = pausingClients }

// pausingClients lets clients take nothing for some seconds while a host serves them to the end.
func pausingClients(r *run) {
	const (
		flows = 20
		count = 600 // lines of 1,000 bytes that the host sends on each flow
		pause = 5 * time.Second
	)
	serve := func(h *host, c net.Conn, in *bufio.Reader, open string) {
		id := strings.Fields(open)[1]
		go io.Copy(io.Discard, in)
		out := bufio.NewWriterSize(c, 32<<10)
		fmt.Fprintf(out, "UP r%s\r\n", id)
		for i := range count {
			fmt.Fprintf(out, "L %03d %s\r\n", i, strings.Repeat("x", 992))
		}
		fmt.Fprint(out, "BYE\r\n")
		err := out.Flush()
		r.note("%s: %s: wrote UP, %d lines and BYE, then the end of the connection; error %v", h.name, id, count, err)
		c.(*net.TCPConn).CloseWrite()
		time.Sleep(pause + time.Second)
	}
	var list []entry
	for i := range 3 {
		list = append(list, r.startHost(fmt.Sprintf("h%d", i), serve).entry(1))
	}
	d := r.startDiscovery(list)
	set := settings(map[string]any{"Name": "studio-feed", "Benefit": 3.0, "Effect": "safe", "SetupTargetMs": 300.0, "HardLimitMs": 1800.0})
	listen := r.freeAddress()
	config := nodeConfig("n1", listen, r.freeAddress(), d, set)
	config["holding"] = map[string]any{"stalled_ms": 15000}
	n := r.startNode("n1", config)
	n.waitReady(10 * time.Second)
	var all sync.WaitGroup
	for i := range flows {
		all.Go(func() {
			id := fmt.Sprintf("f%d", i)
			c := r.dial(listen)
			defer c.Close()
			fmt.Fprintf(c, "OPEN %s k%s c=studio-feed,d=1800\r\n", id, id)
			done := make(chan bool)
			defer close(done)
			go func() { // a line every 2 s, as clients send
				for {
					select {
					case <-time.After(2 * time.Second):
						io.WriteString(c, "M "+id+"\r\n")
					case <-done:
						return
					}
				}
			}()
			in := bufio.NewReader(c)
			if line, err := in.ReadString('\n'); !strings.HasPrefix(line, "UP ") {
				r.note("client %s: answer %q, %v", id, line, err)
				return
			}
			r.note("client %s: UP", id)
			if r.trouble {
				time.Sleep(pause)
			}
			got, last := 0, ""
			for {
				line, err := in.ReadString('\n')
				if err != nil {
					r.note("client %s: %d of %d lines, the last %.10q, then %v", id, got, count, last, err)
					if got != count || last != "BYE\r\n" {
						r.breaks("client %s got %d of the %d lines that its host sent it, and then %v in place of BYE", id, got, count, err)
					}
					return
				}
				if last = line; strings.HasPrefix(line, "L ") {
					got++
				}
			}
		})
	}
	all.Wait()
}
