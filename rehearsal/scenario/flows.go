package scenario

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// flowsHeader is the first line of a file of flows and names its fields.
const flowsHeader = "# at_us type zone group key load,after_us:load... life_us"

// WriteFlows writes clients in the format of the file that Demand.Flows names: one per line, with - for no group.
func WriteFlows(to io.Writer, s *Script, all []RecordedClient) error {
	w := bufio.NewWriter(to)
	fmt.Fprintln(w, flowsHeader)
	for _, client := range all {
		group := cmp.Or(client.Group, "-")
		fmt.Fprintf(w, "%d %s %s %s %s %s %d\n", client.At, s.Types[client.Type].Name, s.Zones[client.Zone], group,
			client.Key, formatLoads(client.Loads), client.Life)
	}
	return w.Flush()
}

// readFlows reads the file that Demand.Flows names. A relative path is relative to the script.
func (s *Script) readFlows(p *problems) {
	path := s.Demand.Flows
	if path == "" {
		return
	}
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(s.File), path)
	}
	file, err := os.Open(path)
	if err != nil {
		p.add("demand.flows", "%v", err)
		return
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || text[0] == '#' {
			continue
		}
		client, err := s.parseRecorded(strings.Fields(text))
		if err != nil {
			p.all = append(p.all, problem{p.lines["demand.flows"], "demand.flows", fmt.Sprintf("%s:%d: %v", path, line, err)})
			return // the other lines are likely to have the same problem
		}
		s.RecordedClients = append(s.RecordedClients, client)
	}
	if err := scanner.Err(); err != nil {
		p.add("demand.flows", "%v", err)
	}
}

// formatLoads formats the loads of a client: LOAD,AFTER:LOAD,... with times in microseconds.
func formatLoads(all []LoadStep) string {
	var b strings.Builder
	for i, step := range all {
		if i > 0 {
			fmt.Fprintf(&b, ",%d:", step.After)
		}
		fmt.Fprintf(&b, "%.4f", step.Load)
	}
	return b.String()
}

// parseLoads is the inverse of formatLoads.
func parseLoads(text string) (all []LoadStep, err error) {
	for i, part := range strings.Split(text, ",") {
		after, load, ok := strings.Cut(part, ":")
		if i == 0 {
			after, load, ok = "0", part, true
		}
		at, afterErr := strconv.ParseInt(after, 10, 64)
		value, loadErr := strconv.ParseFloat(load, 64)
		if !ok || afterErr != nil || loadErr != nil || !(value > 0 && value < 1e6) || at < 0 || i > 0 && Duration(at) < all[i-1].After {
			return nil, fmt.Errorf("load %q: want a number over 0, then times with numbers, in order of time", text)
		}
		all = append(all, LoadStep{Duration(at), value})
	}
	return all, nil
}

// parseRecorded parses the fields of one client.
func (s *Script) parseRecorded(fields []string) (client RecordedClient, err error) {
	if len(fields) != 7 {
		return client, fmt.Errorf("%d fields, want the 7 of %q", len(fields), flowsHeader)
	}
	at, atErr := strconv.ParseInt(fields[0], 10, 64)
	life, lifeErr := strconv.ParseInt(fields[6], 10, 64)
	loads, loadsErr := parseLoads(fields[5])
	client = RecordedClient{At: Duration(at), Type: s.TypeIndex(fields[1]), Key: fields[4], Loads: loads, Life: Duration(life), Zone: -1}
	for i, z := range s.Zones {
		if z == fields[2] {
			client.Zone = i
		}
	}
	if fields[3] != "-" {
		client.Group = fields[3]
	}
	switch {
	case atErr != nil || at < 0:
		err = fmt.Errorf("at_us %q: want a whole number of microseconds", fields[0])
	case client.Type < 0:
		err = fmt.Errorf("type %q is not a service type", fields[1])
	case client.Zone < 0:
		err = fmt.Errorf("zone %q: want one of %s", fields[2], strings.Join(s.Zones, ", "))
	case loadsErr != nil:
		err = loadsErr
	case lifeErr != nil || life < 0:
		err = fmt.Errorf("life_us %q: want a whole number of microseconds", fields[6])
	}
	return client, err
}
