package scenario

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// LoadWith reads a script with some of its values changed, each as KEY=VALUE: fleet.buffer="2s", types.0.benefit=3.
// Members of lists are counted from 0.
func LoadWith(name string, changes []string) (*Script, error) {
	if len(changes) == 0 {
		return Load(name)
	}
	text, err := shipped.ReadFile("scripts/" + name + ".toml")
	file := name + ".toml"
	if err != nil {
		file = name
		if text, err = os.ReadFile(name); err != nil {
			return nil, err
		}
	}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		return Parse(file, text) // for its errors
	}
	for _, c := range changes {
		key, value, ok := strings.Cut(c, "=")
		var v map[string]any
		if err := toml.Unmarshal([]byte("v = "+value), &v); !ok || err != nil {
			return nil, fmt.Errorf("%q is no KEY=VALUE with a value as in TOML", c)
		}
		if err := setValue(tree, strings.Split(strings.TrimSpace(key), "."), v["v"]); err != nil {
			return nil, fmt.Errorf("%q: %w", c, err)
		}
	}
	if text, err = toml.Marshal(tree); err != nil {
		return nil, err
	}
	s, err := Parse(fmt.Sprintf("%s with %s", file, strings.Join(changes, ", ")), text)
	if s != nil {
		s.File = file
	}
	return s, err
}

func setValue(tree any, path []string, value any) error {
	switch t := tree.(type) {
	case map[string]any:
		if len(path) == 1 {
			t[path[0]] = value
			return nil
		}
		if t[path[0]] == nil {
			t[path[0]] = map[string]any{}
		}
		return setValue(t[path[0]], path[1:], value)
	case []any:
		index, err := strconv.Atoi(path[0])
		if err != nil || index < 0 || index >= len(t) {
			return fmt.Errorf("%q is no number of its %d members", path[0], len(t))
		}
		if len(path) == 1 {
			t[index] = value
			return nil
		}
		return setValue(t[index], path[1:], value)
	}
	return fmt.Errorf("%q is no table", path[0])
}
