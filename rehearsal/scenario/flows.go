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

const flowsHeader = "# at_us type zone group key load,after_us:load... life_us"

// WriteFlows writes clients as a file that Demand.Flows can name: one a line, group - for none.
func WriteFlows(to io.Writer, s *Script, all []Recorded) error {
	b := bufio.NewWriter(to)
	fmt.Fprintln(b, flowsHeader)
	for _, r := range all {
		group := cmp.Or(r.Group, "-")
		fmt.Fprintf(b, "%d %s %s %s %s %s %d\n", r.At, s.Types[r.Type].Name, s.Zones[r.Zone], group, r.Key, formatLoads(r.Loads), r.Life)
	}
	return b.Flush()
}

// readFlows reads the file that Demand.Flows names, beside the script.
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
		r, err := s.parseRecorded(strings.Fields(text))
		if err != nil {
			p.all = append(p.all, problem{p.lines["demand.flows"], "demand.flows", fmt.Sprintf("%s:%d: %v", path, line, err)})
			return // the rest is likely to be wrong in the same way
		}
		s.Recorded = append(s.Recorded, r)
	}
	if err := scanner.Err(); err != nil {
		p.add("demand.flows", "%v", err)
	}
}

func formatLoads(all []Step) string {
	var b strings.Builder
	for i, l := range all {
		if i > 0 {
			fmt.Fprintf(&b, ",%d:", l.After)
		}
		fmt.Fprintf(&b, "%.4f", l.Load)
	}
	return b.String()
}

func parseLoads(text string) (all []Step, err error) {
	for i, part := range strings.Split(text, ",") {
		after, load, ok := strings.Cut(part, ":")
		if i == 0 {
			after, load, ok = "0", part, true
		}
		at, err1 := strconv.ParseInt(after, 10, 64)
		v, err2 := strconv.ParseFloat(load, 64)
		if !ok || err1 != nil || err2 != nil || !(v > 0 && v < 1e6) || at < 0 || i > 0 && Span(at) < all[i-1].After {
			return nil, fmt.Errorf("load %q: a figure over 0, then times with figures, in order", text)
		}
		all = append(all, Step{Span(at), v})
	}
	return all, nil
}

func (s *Script) parseRecorded(fields []string) (r Recorded, err error) {
	if len(fields) != 7 {
		return r, fmt.Errorf("%d fields, not the 7 of %q", len(fields), flowsHeader)
	}
	at, err1 := strconv.ParseInt(fields[0], 10, 64)
	life, err2 := strconv.ParseInt(fields[6], 10, 64)
	loads, err3 := parseLoads(fields[5])
	r = Recorded{At: Span(at), Type: s.TypeNo(fields[1]), Key: fields[4], Loads: loads, Life: Span(life), Zone: -1}
	for i, z := range s.Zones {
		if z == fields[2] {
			r.Zone = i
		}
	}
	if fields[3] != "-" {
		r.Group = fields[3]
	}
	switch {
	case err1 != nil || at < 0:
		err = fmt.Errorf("at_us %q: a whole number of microseconds", fields[0])
	case r.Type < 0:
		err = fmt.Errorf("type %q is no service type", fields[1])
	case r.Zone < 0:
		err = fmt.Errorf("zone %q: one of %s", fields[2], strings.Join(s.Zones, ", "))
	case err3 != nil:
		err = err3
	case err2 != nil || life < 0:
		err = fmt.Errorf("life_us %q: a whole number of microseconds", fields[6])
	}
	return r, err
}
