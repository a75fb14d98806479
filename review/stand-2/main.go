// Command stand-2 holds the stand-ins of the scripts in review/6 to review/10: clients,
// workers, the platform's store and the part of the platform that runs processes. Each
// case is a subcommand. It starts the project's gates as processes of their own and exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

var cases = map[string]func(*record, bool) (int, error){
	"6": maps,
	"7": prompts,
	"8": shutdown,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		os.Exit(couldNot)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	endChildrenOnSignal()
	code, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.printf("the case could not run: %v", err)
		code = couldNot
	}
	r.printf("exit code %d", code)
	r.close()
	os.Exit(code)
}
