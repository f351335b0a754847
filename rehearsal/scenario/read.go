package scenario

import (
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

//go:embed scripts/*.toml
var shipped embed.FS

// ShippedNames returns the names of the scripts that come with the program, in order.
func ShippedNames() []string {
	files, _ := fs.Glob(shipped, "scripts/*.toml")
	var names []string
	for _, f := range files {
		names = append(names, strings.TrimSuffix(path.Base(f), ".toml"))
	}
	return sortNames(names)
}

// sortNames sorts names in place and returns them.
func sortNames(names []string) []string {
	slices.Sort(names)
	return names
}

// Load reads a script: the shipped one of that name, or else the file of that name.
func Load(name string) (*Script, error) {
	if text, err := shipped.ReadFile("scripts/" + name + ".toml"); err == nil {
		return Parse(name+".toml", text)
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("%w (shipped scripts: %s)", err, strings.Join(ShippedNames(), ", "))
	}
	return Parse(name, text)
}

// problem is an error in a script, with its place.
type problem struct {
	line    int
	key     string
	message string
}

// problems is the error that holds all problems of a script.
type problems struct {
	file  string
	lines map[string]int // line of each key
	all   []problem
}

// Error returns the problems, one per line.
func (p *problems) Error() string {
	var b strings.Builder
	for i, problem := range p.all {
		if i > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(&b, "%s:%d: %s: %s", p.file, problem.line, problem.key, problem.message)
	}
	return b.String()
}

// add adds a problem. Its line is that of the key or, if the file does not have it, of the nearest enclosing table.
func (p *problems) add(key, format string, args ...any) {
	table, line := key, 1
	for table != "" {
		if n, ok := p.lines[table]; ok {
			line = n
			break
		}
		table = table[:max(strings.LastIndexByte(table, '.'), 0)]
	}
	p.all = append(p.all, problem{line, key, fmt.Sprintf(format, args...)})
}

// Parse reads and checks a script. file is used in errors and as the place of other files. The error names every problem,
// one per line, with file, line, key and what is right.
func Parse(file string, text []byte) (*Script, error) {
	s := defaults()
	s.File = file
	p := &problems{file: file, lines: keyLines(text)}
	decoder := toml.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(s)
	var missing *toml.StrictMissingError
	var decodeError *toml.DecodeError
	switch {
	case errors.As(err, &missing):
		for _, missingKey := range missing.Errors {
			row, _ := missingKey.Position()
			p.all = append(p.all, problem{row, strings.Join(missingKey.Key(), "."), "no such key"})
		}
		return nil, p
	case errors.As(err, &decodeError):
		row, _ := decodeError.Position()
		p.all = append(p.all, problem{row, strings.Join(decodeError.Key(), "."), strings.TrimPrefix(decodeError.Error(), "toml: ")})
		return nil, p
	case err != nil:
		p.all = append(p.all, problem{1, "", strings.TrimPrefix(err.Error(), "toml: ")})
		return nil, p
	}
	s.fillDefaults()
	s.check(p)
	s.readFlows(p)
	if len(p.all) > 0 {
		slices.SortStableFunc(p.all, func(x, y problem) int { return x.line - y.line })
		return nil, p
	}
	return s, nil
}

// keyLines returns the line of each key. Members of arrays of tables are counted from 0.
func keyLines(text []byte) map[string]int {
	lines := map[string]int{}
	counts := map[string]int{}
	parser := unstable.Parser{}
	parser.Reset(text)
	table := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		var parts []string
		line := 1
		for key := expression.Key(); key.Next(); {
			part := key.Node()
			parts = append(parts, string(part.Data))
			line = 1 + strings.Count(string(text[:part.Raw.Offset]), "\n")
		}
		name := strings.Join(parts, ".")
		switch expression.Kind {
		case unstable.Table:
			table = memberPath(name, counts)
			lines[table] = line
		case unstable.ArrayTable:
			table = memberPath(name, counts)
			index := counts[table]
			counts[table]++
			table = fmt.Sprintf("%s.%d", table, index)
			lines[table] = line
		case unstable.KeyValue:
			if table != "" {
				name = table + "." + name
			}
			lines[name] = line
		}
	}
	return lines
}

// memberPath adds the number of the last member after each array of tables in a name.
func memberPath(name string, counts map[string]int) string {
	parts := strings.Split(name, ".")
	full := parts[0]
	for _, p := range parts[1:] {
		if n := counts[full]; n > 0 {
			full = fmt.Sprintf("%s.%d", full, n-1)
		}
		full += "." + p
	}
	return full
}
