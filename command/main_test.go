package command

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	. "github.com/onsi/gomega"

	"samphirepoint/wave"
)

func runMain(args ...string) (status subcommands.ExitStatus, stdout, stderr string) {
	var out, errOut bytes.Buffer
	status = Main(context.Background(), args, &out, &errOut)
	return status, out.String(), errOut.String()
}

// Guards against commands without an example in their help, and against help that goes to standard error or exits with a
// status other than 0, for each way to request it.
func TestHelpOfEachCommand(t *testing.T) {
	for _, c := range All() {
		for _, args := range [][]string{{c.Name(), "-h"}, {c.Name(), "--help"}, {"help", c.Name()}} {
			g := NewWithT(t)
			status, out, errOut := runMain(args...)
			g.Expect(status).To(Equal(subcommands.ExitSuccess), "%v", args)
			g.Expect(out).To(ContainSubstring("Example"), "%v", args)
			g.Expect(errOut).To(BeEmpty(), "%v", args)
		}
	}
}

// Guards against commands that the overview omits.
func TestOverviewListsEachCommand(t *testing.T) {
	g := NewWithT(t)
	status, out, _ := runMain("help")
	g.Expect(status).To(Equal(subcommands.ExitSuccess))
	for _, c := range All() {
		g.Expect(out).To(ContainSubstring("\n  " + c.Name() + " "))
	}
	status, _, errOut := runMain()
	g.Expect(status).To(Equal(subcommands.ExitUsageError))
	g.Expect(errOut).To(Equal(out))
}

// Guards against usage errors that do not name the invalid argument, or that exit with a status other than 2, by which scripts
// distinguish them from rejected requests.
func TestUsageErrors(t *testing.T) {
	dir := t.TempDir()
	settingsFile := filepath.Join(dir, "entry.yaml")
	NewWithT(t).Expect(os.WriteFile(settingsFile, []byte("id: e1\nzonne: a\n"), 0o600)).To(Succeed())
	for _, c := range []struct {
		args, want string
	}{
		{"frobnicate", `unknown command "frobnicate"`},
		{"help frobnicate", "frobnicate"},
		{"status -at 127.0.0.1:1 poools", "expected jobs ID, queues, pools, waves or owners"},
		{"status -at 127.0.0.1:1 jobs", "expected jobs ID, queues, pools, waves or owners"},
		{"status queues", "expected -at IP:PORT"},
		{"dev -deployment mars", "expected inzira or hraunvik"},
		{"dev -policies lifo,random,owner", `"lifo", expected weighted or fifo`},
		{"dev -policies weighted", "expected three names"},
		{"dev -moves often", `"often", expected learned`},
		{"dev -log loud", `"loud", expected debug`},
		{"dev -entries 0", "expected 1 to"},
		{"dev -rate 0", "expected a number of requests per second above 0"},
		{"dev -rate NaN", "expected a number of requests per second above 0"},
		{"dev -for -1s", "expected a duration above 0"},
		{"dev -changes -1", "expected 0 or more"},
		{"dev -port 65500", "expected 0, or a port"},
		{"dev -dir x", "-serve only"},
		{"dev -serve -json", "-json cannot be combined"},
		{"dev surplus", `unexpected argument "surplus"`},
		{"dev -nosuch", "not defined: -nosuch"},
		{"entry", "-settings is required"},
		{"entry -settings " + settingsFile, "entry.yaml:2: zonne"},
		{"settings check " + settingsFile, "entry.yaml:2: zonne"},
		{"settings", "settings check FILE"},
		{"token new -role backer", "-name is missing"},
		{"token new -name x -role king", `unknown role "king"`},
		{"load", "-target and -token-file are required"},
		{"load -target 127.0.0.1:1 -token-file " + settingsFile + " -deployment mars", "expected inzira or hraunvik"},
		{"load -target 127.0.0.1:1 -token-file " + filepath.Join(dir, "none"), "no such file"},
		{"standin worker", "-id is required"},
		{"standin proxy", "-target is required"},
		{"table show", "no entry: set -entry"},
		{"table -entry 127.0.0.1:1 show", "no token: set -token-file"},
		{"table -entry 127.0.0.1:1 -token-file " + filepath.Join(dir, "none") + " show", "no such file"},
		{"table frobnicate", `unknown action "frobnicate"`},
		{"pool frobnicate", `unknown action "frobnicate"`},
		{"maintenance", "an action is missing"},
	} {
		t.Run(c.args, func(t *testing.T) {
			t.Setenv(envEntry, "")
			t.Setenv(envTokenFile, "")
			g := NewWithT(t)
			var status subcommands.ExitStatus
			text := captureStderr(t, func() string {
				var errOut string
				status, _, errOut = runMain(strings.Fields(c.args)...)
				return errOut
			})
			g.Expect(status).To(Equal(subcommands.ExitUsageError))
			g.Expect(text).To(ContainSubstring(c.want))
		})
	}
}

// captureStderr returns the result of f, followed by what is written to os.Stderr while f runs.
func captureStderr(t *testing.T, f func() string) string {
	t.Helper()
	g := NewWithT(t)
	file, err := os.Create(filepath.Join(t.TempDir(), "stderr"))
	g.Expect(err).NotTo(HaveOccurred())
	defer file.Close()
	old := os.Stderr
	os.Stderr = file
	defer func() { os.Stderr = old }()
	text := f()
	data, err := os.ReadFile(file.Name())
	g.Expect(err).NotTo(HaveOccurred())
	return text + string(data)
}

// Guards against duplicate lines when several instances of a wave wait for the same budget.
func TestWaitsArePrintedOnce(t *testing.T) {
	var out bytes.Buffer
	same := wave.Wait{From: wave.Node{Kind: "wave", Name: "w"}, For: wave.Node{Kind: "pool budget", Name: "p"}}
	printWaits(&out, []wave.Wait{same, same})
	NewWithT(t).Expect(strings.Count(out.String(), "\n")).To(Equal(1), out.String())
}
