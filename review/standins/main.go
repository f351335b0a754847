// Review runs one case of the review: it starts the project's programs and stand-ins round them, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

var cases = map[string]func(*run){}

func main() {
	runtime.LockOSThread() // the nodes are killed when the thread that started them ends
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a case and returns its exit code. root is the folder of the repository, and folder that of the case.
func play(root, folder string) (code int) {
	name := filepath.Base(folder)
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	parent := os.TempDir()
	if len(parent) > 40 {
		parent = "/tmp" // the path of a Unix socket has to be short
	}
	temp, err := os.MkdirTemp(parent, "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(temp)
	r := &run{root: root, folder: temp, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	r.note("case %s, trouble %t", name, r.trouble)
	defer func() {
		r.endAll()
		p := recover()
		if setup, ok := p.(errSetup); ok {
			r.note("could not run: %v", setup)
			fmt.Println("could not run:", setup)
			code = 2
			return
		} else if p != nil {
			panic(p)
		}
		for _, text := range r.broken[:min(len(r.broken), 5)] {
			fmt.Println("broken:", text)
		}
		if code = 0; len(r.broken) > 0 {
			code = 1
		}
		r.note("exit code %d", code)
	}()
	cases[name](r)
	return code
}
