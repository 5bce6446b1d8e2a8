// Command review-standin-2 plays the cases of the second review: it starts daemons as processes against a platform, workers and callers that behave
// as the users' pages say, disturbs them unless -trouble is 0, and checks a rule. It exits with 1 if the rule was broken, 0 if it held and 2 if the
// case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "the case")
	path := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	trouble := flag.String("trouble", "1", "0 leaves the disruption out")
	flag.Parse()
	c, known := cases[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return 2
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	x, err := newWorld(r, c.workers, c.pools)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer x.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		x.close()
		os.Exit(2)
	}()
	if err := c.play(x, *trouble != "0"); err != nil {
		r.note("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	broken := r.violations()
	r.note("%d violations", len(broken))
	fmt.Printf("%d violations\n", len(broken))
	if len(broken) == 0 {
		return 0
	}
	fmt.Println(broken[0])
	return 1
}
