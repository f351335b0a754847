package simwire

import (
	"fmt"
	"strconv"
	"strings"

	"coursewinch/balance"
)

// conf reads the settings that the module uses; it keeps the first fault.
type conf struct {
	values map[string]string
	err    error
}

func (c *conf) fail(key, what string) {
	if c.err == nil {
		c.err = fmt.Errorf("setting %s %s", key, what)
	}
}

func (c *conf) number(key string, low float64) float64 {
	v, ok := c.values[key]
	if !ok {
		c.fail(key, "is missing")
		return 0
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= low && n < 1e12) {
		c.fail(key, fmt.Sprintf("has the impossible value %q", v))
	}
	return n
}

func (c *conf) time(key string, low float64) int64 { return int64(c.number(key, low)*1000 + 0.5) }

func (c *conf) word(key string, words ...string) int {
	v, ok := c.values[key]
	for i, w := range words {
		if v == w {
			return i
		}
	}
	if !ok {
		c.fail(key, "is missing")
	} else {
		c.fail(key, fmt.Sprintf("has the impossible value %q", v))
	}
	return 0
}

func (c *conf) flag(key string) bool { return c.word(key, "false", "true") == 1 }

func (c *conf) list(key string) []string {
	if v := c.values[key]; v != "" {
		return strings.Split(v, ",")
	}
	return nil
}

func decode(pairs [][]byte) (*balance.Settings, bool, error) {
	c := &conf{values: make(map[string]string, len(pairs))}
	for _, p := range pairs {
		key, value, ok := strings.Cut(string(p), "=")
		if !ok {
			return nil, false, fmt.Errorf("setting %q has no value", p)
		}
		c.values[key] = value
	}
	s := &balance.Settings{
		Nodes:        int(c.number("Balancers", 1)),
		Index:        int(c.number("Index", 0)),
		Zone:         int(c.number("MyZone", 0)),
		MaxConnects:  int(c.number("Limits.MaxConnects", 1)),
		Probing:      c.flag("Limits.Probing"),
		OnRequest:    c.word("Discovery", "pushed", "on_request") == 1,
		RetryAfter:   c.flag("Limits.RetryAfter"),
		MaxWait:      c.time("Limits.MaxRetryAfterMs", 0),
		ColdFrom:     c.number("Obligations.ColdFrom", 0),
		ColdTime:     c.time("Obligations.ColdMs", 0),
		FallMultiple: c.number("Obligations.FallMultiple", 0),
	}
	if s.OnRequest {
		s.AskWithin = c.time("Obligations.AskWithinMs", 1)
	}
	targets := c.list("Specifics.MessageAimMs")
	for i := range min(int(c.number("ServiceTypes.count", 1)), 1000) {
		at := fmt.Sprintf("ServiceTypes.%d.", i)
		t := balance.ServiceType{
			SetupTarget: c.time(at+"SetupTargetMs", 0),
			Effect:      balance.Effect(c.word(at+"Effect", "safe", "keyed", "unsafe")),
		}
		t.MessageTarget = t.SetupTarget
		if i < len(targets) {
			ms, err := strconv.ParseFloat(targets[i], 64)
			if err != nil || !(ms > 0) {
				c.fail("Specifics.MessageAimMs", fmt.Sprintf("has the impossible value %q", targets[i]))
			}
			t.MessageTarget = int64(ms * 1000)
		}
		if t.Effect == balance.Referenced {
			t.Scope = balance.Scope(c.word(at+"Group", "all", "zone", "cell"))
			t.Window = c.time(at+"WindowMs", 0)
		}
		s.Types = append(s.Types, t)
	}
	return s, c.values["Specifics.Mode"] == "pass", c.err
}
