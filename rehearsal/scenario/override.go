package scenario

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// LoadWithOverrides reads a script as Load does and changes some of its values. Each change is KEY=VALUE with a value
// as in TOML, such as fleet.buffer="2s" or types.0.benefit=3. Members of lists are counted from 0.
func LoadWithOverrides(name string, changes []string) (*Script, error) {
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
		return Parse(file, text) // returns the errors with file and line
	}
	for _, change := range changes {
		key, value, ok := strings.Cut(change, "=")
		var decoded map[string]any
		if err := toml.Unmarshal([]byte("v = "+value), &decoded); !ok || err != nil {
			return nil, fmt.Errorf("%q is not KEY=VALUE with a value as in TOML", change)
		}
		if err := setValue(tree, strings.Split(strings.TrimSpace(key), "."), decoded["v"]); err != nil {
			return nil, fmt.Errorf("%q: %w", change, err)
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

// setValue sets the value at a path of keys and list positions in a decoded script. Missing tables are created.
func setValue(tree any, path []string, value any) error {
	switch node := tree.(type) {
	case map[string]any:
		if len(path) == 1 {
			node[path[0]] = value
			return nil
		}
		if node[path[0]] == nil {
			node[path[0]] = map[string]any{}
		}
		return setValue(node[path[0]], path[1:], value)
	case []any:
		index, err := strconv.Atoi(path[0])
		if err != nil || index < 0 || index >= len(node) {
			return fmt.Errorf("%q is not the number of one of its %d members", path[0], len(node))
		}
		if len(path) == 1 {
			node[index] = value
			return nil
		}
		return setValue(node[index], path[1:], value)
	}
	return fmt.Errorf("%q is not a table", path[0])
}
