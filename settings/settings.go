// Package settings decodes the settings that a node gets when it starts. They come in two forms with the same content:
// the simulator sends a path and a value for each setting, and a config file has them as nested JSON.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"coursewinch/balance"
)

const (
	maxNumber       = 1e12    // every number has to be lower
	maxServiceTypes = 1 << 14 // bounds the memory that an absurd count would take
	minNinesWanted  = 0.01    // NinesWanted is a divisor; lower values make no sense
	jsonSeparator   = "\x00"  // between the values of a joined JSON list; no name contains it
)

// decoder reads single settings from their paths and values. It keeps the first error.
type decoder struct {
	values    map[string]string
	separator string // between the values of a list
	err       error
}

// fail records an error about a setting unless there is one already.
func (d *decoder) fail(key, problem string) {
	if d.err == nil {
		d.err = fmt.Errorf("setting %s %s", key, problem)
	}
}

// number reads a number of at least minimum and below maxNumber. The setting must not be missing.
func (d *decoder) number(key string, minimum float64) float64 {
	v, ok := d.values[key]
	if !ok {
		d.fail(key, "is missing")
		return 0
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= minimum && n < maxNumber) {
		d.fail(key, fmt.Sprintf("has the invalid value %q", v))
	}
	return n
}

// duration reads a time in milliseconds and returns it in microseconds, rounded.
func (d *decoder) duration(key string, minimum float64) int64 {
	return int64(d.number(key, minimum)*1000 + 0.5)
}

// choice reads one of several words and returns its index.
func (d *decoder) choice(key string, choices ...string) int {
	v, ok := d.values[key]
	for i, word := range choices {
		if v == word {
			return i
		}
	}
	if !ok {
		d.fail(key, "is missing")
	} else {
		d.fail(key, fmt.Sprintf("has the invalid value %q", v))
	}
	return 0
}

// boolean reads true or false.
func (d *decoder) boolean(key string) bool { return d.choice(key, "false", "true") == 1 }

// optionalNumber reads a number that may be missing, and is 0 then.
func (d *decoder) optionalNumber(key string, minimum float64) float64 {
	if _, ok := d.values[key]; !ok {
		return 0
	}
	return d.number(key, minimum)
}

// list reads a list of texts, which may be missing or empty.
func (d *decoder) list(key string) []string {
	if v := d.values[key]; v != "" {
		return strings.Split(v, d.separator)
	}
	return nil
}

// loadReportIndex returns the index of the value in a load report that says how loaded a host is: load over capacity (x0)
// if hosts report it, or else how busy the cores are (cpu). It is -1 if hosts report neither.
func (d *decoder) loadReportIndex() int {
	if _, ok := d.values["LoadReport.How"]; !ok || d.choice("LoadReport.How", "silent", "pull", "piggyback") == 0 {
		return -1
	}
	names := d.list("LoadReport.Names")
	if i := slices.Index(names, "x0"); i >= 0 {
		return i
	}
	return slices.Index(names, "cpu")
}

// Settings are the settings of the balance module, and those that the programs around it read. Times are microseconds.
type Settings struct {
	balance.Settings
	HostsReportLoad    bool           // hosts report their load, at least in answers to probes
	LoadReportIndex    int            // index of the value used of a load report: load over capacity, or core usage; -1 for none
	PassThrough        bool           // packets pass through and connections do not end at the node
	ServiceTypeIndex   map[string]int // index of each service type by its name
	ZoneIndex          map[string]int // index of each zone by its name
	HasGroups          bool           // clients belong to groups that share work
	ReportsMessageTime bool           // hosts report how long messages take
	DialTimeout        int64          // timeout after which a connection attempt has failed; 0 if none is set
	Benefits           []float64      // benefit of a flow, by service type; 0 if none is set
	MaxConnectTimeout  int64          // highest connect timeout of any service type
	ConnectTimeouts    []int64        // connect timeout, by service type; 0 if none is set
	NinesWeight        float64        // weight of availability, counted in nines, in the goal; 0 if the goal does not count it
	NinesWanted        float64        // availability that the goal wants, in nines
	ListsPushed        bool           // lists of hosts are pushed: what they say counts as known at once
	DrainGrace         int64          // time after a drain notice in which new flows may still go to a host; 0 if none is set
	// Only a drain notice obliges nodes to stop using a host. A host that the list calls gone, or leaves out, without
	// having been drained does not, so the successor process of a node does not treat it as a drain.
	DrainBindsAlone bool
}

// ParsePairs decodes the form that the simulator sends: each part is PATH=VALUE.
func ParsePairs(parts [][]byte) (*Settings, error) {
	values := make(map[string]string, len(parts))
	for _, p := range parts {
		key, value, ok := strings.Cut(string(p), "=")
		if !ok {
			return nil, fmt.Errorf("setting %q has no value", p)
		}
		values[key] = value
	}
	return decode(values, ",")
}

// ParseJSON decodes the nested form of the config file.
func ParseJSON(text []byte) (*Settings, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if tree == nil {
		return nil, errors.New("settings are missing")
	}
	values := map[string]string{}
	flatten(values, "", tree)
	return decode(values, jsonSeparator)
}

// flatten stores each scalar value under its path. For a list of objects, it stores the length under PATH.count and the
// objects under their indexes. A list of scalars is joined with jsonSeparator: names may contain spaces and commas, and
// discovery and clients use the same names.
func flatten(values map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, item := range v {
			itemPath := name
			if path != "" {
				itemPath = path + "." + name
			}
			flatten(values, itemPath, item)
		}
	case []any:
		var plain []string
		for i, item := range v {
			if _, nested := item.(map[string]any); nested {
				flatten(values, path+"."+strconv.Itoa(i), item)
				values[path+".count"] = strconv.Itoa(i + 1)
			} else {
				plain = append(plain, scalarText(item))
			}
		}
		values[path] = strings.Join(plain, jsonSeparator)
	default:
		values[path] = scalarText(v)
	}
}

// scalarText is the text of a single JSON value; null gives an empty text.
func scalarText(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case bool:
		return strconv.FormatBool(v)
	case json.Number:
		return v.String()
	case string:
		return v
	}
	return fmt.Sprint(v)
}

// decode decodes settings given by their paths. The separator stands between the values of a list.
func decode(values map[string]string, separator string) (*Settings, error) {
	d := &decoder{values: values, separator: separator}
	s := &Settings{
		Settings: balance.Settings{
			Nodes:          int(d.number("Balancers", 1)),
			Index:          int(d.number("Index", 0)),
			Zone:           int(d.number("MyZone", 0)),
			MaxConnects:    int(d.number("Limits.MaxConnects", 1)),
			Probing:        d.boolean("Limits.Probing"),
			NoDelayReports: values["Specifics.TellsDelay"] == "false",
			OnRequest:      d.choice("Discovery", "pushed", "on_request") == 1,
			ColdFrom:       d.number("Obligations.ColdFrom", 0),
			ColdTime:       d.duration("Obligations.ColdMs", 0),
			FallMultiple:   d.number("Obligations.FallMultiple", 0),
		},
		ServiceTypeIndex:   map[string]int{},
		ZoneIndex:          map[string]int{},
		PassThrough:        values["Specifics.Mode"] == "pass",
		HasGroups:          values["Specifics.Groups"] == "true",
		ReportsMessageTime: values["Specifics.TellsDelay"] == "true",
	}
	d.optionalSettings(s)
	s.LoadReportIndex = d.loadReportIndex()
	s.HostsReportLoad = s.LoadReportIndex >= 0
	if s.NinesWeight = d.optionalNumber("Goal.Nines", 0); s.NinesWeight > 0 {
		s.NinesWanted = d.number("Goal.NinesWanted", minNinesWanted)
	} else {
		d.optionalNumber("Goal.NinesWanted", 0)
	}
	for i, name := range d.list("Localities") {
		s.ZoneIndex[name] = i
	}
	d.serviceTypes(s)
	return s, d.err
}

// optionalSettings decodes the settings that only some deployments have.
func (d *decoder) optionalSettings(s *Settings) {
	if d.boolean("Limits.RetryAfter") {
		s.MaxRetryAfter = d.duration("Limits.MaxRetryAfterMs", 0)
	}
	s.FallTime = int64(d.optionalNumber("Obligations.FallMs", 0) * 1000)
	s.DrainGrace = int64(d.optionalNumber("Obligations.DrainGraceMs", 0) * 1000)
	if s.OnRequest {
		s.AskWithin = d.duration("Obligations.AskWithinMs", 1)
	}
	if _, ok := d.values["Limits.DialTimeoutMs"]; ok {
		s.DialTimeout = d.duration("Limits.DialTimeoutMs", 1)
	}
	if _, ok := d.values["Obligations.DrainBindsAlone"]; ok {
		s.DrainBindsAlone = d.boolean("Obligations.DrainBindsAlone")
	}
	if _, ok := d.values["Limits.Peers"]; ok {
		s.PeerMessages = d.boolean("Limits.Peers")
	}
}

// serviceTypes decodes all service types, with their names, benefits and connect timeouts.
func (d *decoder) serviceTypes(s *Settings) {
	messageTargets := d.list("Specifics.MessageAimMs")
	count := int(d.number("ServiceTypes.count", 1))
	if count > maxServiceTypes {
		d.fail("ServiceTypes", fmt.Sprintf("are %d, more than %d", count, maxServiceTypes))
	}
	for i := range min(count, maxServiceTypes) {
		prefix := fmt.Sprintf("ServiceTypes.%d.", i)
		t := d.serviceType(prefix, i, messageTargets)
		name := d.values[prefix+"Name"]
		if _, duplicate := s.ServiceTypeIndex[name]; duplicate {
			d.fail(prefix+"Name", fmt.Sprintf("is %q, the name of another service type", name))
		}
		s.ServiceTypeIndex[name] = i
		s.Benefits = append(s.Benefits, d.optionalNumber(prefix+"Benefit", 0))
		connectTimeout := int64(0)
		if _, ok := d.values[prefix+"HardLimitMs"]; ok {
			connectTimeout = d.duration(prefix+"HardLimitMs", 0)
		}
		s.MaxConnectTimeout = max(s.MaxConnectTimeout, connectTimeout)
		s.ConnectTimeouts = append(s.ConnectTimeouts, connectTimeout)
		s.Types = append(s.Types, t)
	}
}

// serviceType decodes what the balance module uses of the service type at an index. messageTargets are the targets, in
// milliseconds, of the service types that have one. For the others, the setup target applies.
func (d *decoder) serviceType(prefix string, index int, messageTargets []string) balance.ServiceType {
	t := balance.ServiceType{
		SetupTarget: d.duration(prefix+"SetupTargetMs", 0),
		Effect:      balance.Effect(d.choice(prefix+"Effect", "safe", "keyed", "unsafe")),
	}
	t.MessageTarget = t.SetupTarget
	if index < len(messageTargets) {
		ms, err := strconv.ParseFloat(messageTargets[index], 64)
		if err != nil || !(ms > 0) {
			d.fail("Specifics.MessageAimMs", fmt.Sprintf("has the invalid value %q", messageTargets[index]))
		}
		t.MessageTarget = int64(ms * 1000)
	}
	if t.Effect == balance.Referenced {
		t.Scope = balance.Scope(d.choice(prefix+"Group", "all", "zone", "cell"))
		t.Window = d.duration(prefix+"WindowMs", 0)
	}
	return t
}
