// Command standin plays one case of the review: it is the platform, the workers and the clients of a small deployment, starts the
// project's daemons as separate processes, and judges what clients and workers have seen. It exits with 1 if the case's rule was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases has the function that plays each case. It returns the ways in which the case's rule was broken.
var cases = map[string]func(w *world, trouble bool) ([]string, error){}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	trouble := flag.Bool("trouble", true, "play the disruption")
	dir := flag.String("dir", ".", "the folder that gets record.txt")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitFailed
	}
	file, err := os.Create(filepath.Join(*dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer file.Close()
	scratch, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer os.RemoveAll(scratch)
	w := newWorld(file, scratch)
	defer w.close()
	defer w.endOnSignal()()
	broken, err := play(w, *trouble)
	if err != nil {
		w.record("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	for _, b := range broken {
		w.record("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	w.record("held")
	fmt.Println("held")
	return exitHeld
}

// endOnSignal ends the daemons and this process when it is told to stop. The function that it returns ends that.
func (w *world) endOnSignal() func() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		if _, ok := <-stop; ok {
			w.record("told to stop")
			w.close()
			_ = os.RemoveAll(w.scratch)
			os.Exit(exitFailed)
		}
	}()
	return func() {
		signal.Stop(stop)
		close(stop)
	}
}
