// Command standin3 plays the cases of review/ that are scripts: it starts daemons of the deploy file as processes, beside stand-ins for the
// platform, the workers, the adviser and the clients that follow the users' pages, and checks one rule.
//
//	standin3 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 it plays the case without the disruption.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

type rawJSON = json.RawMessage

var cases = map[string]func(*system, bool) ([]string, error){
	"advice": advice,
	"entry":  foreignEntry,
}

const maxTime = 115 * time.Second

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		return 2
	}
	s, err := newSystem(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	time.AfterFunc(maxTime, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		s.close()
		os.Exit(2)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	s.note("case %s, trouble %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](s, trouble)
	if err != nil {
		s.note("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, b := range broken {
		s.note("BROKEN %s", b)
	}
	fmt.Printf("%d violations\n", len(broken))
	if len(broken) > 0 {
		fmt.Println(broken[0])
		return 1
	}
	return 0
}
