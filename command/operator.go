package command

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/google/subcommands"

	"samphirepoint/admin"
)

const (
	envEntry     = "SAMPHIREPOINT_ENTRY"
	envTokenFile = "SAMPHIREPOINT_TOKEN_FILE"
)

// operatorFlags are the flags of all commands that talk to the admin API.
type operatorFlags struct {
	entry, tokenFile string
	json             bool
}

// init takes the defaults from the environment.
func (o *operatorFlags) init(f *flag.FlagSet, getenv func(string) string) {
	o.entry, o.tokenFile = getenv(envEntry), getenv(envTokenFile)
	o.register(f)
}

// register adds the flags, which may stand before and after the action.
func (o *operatorFlags) register(f *flag.FlagSet) {
	f.StringVar(&o.entry, "entry", o.entry, "`ADDR[,ADDR]` of entries, tried in turn; default from "+envEntry)
	f.StringVar(&o.tokenFile, "token-file", o.tokenFile, "`FILE` with the operator's bearer token; default from "+envTokenFile)
	f.BoolVar(&o.json, "json", o.json, "print JSON")
}

// finish reports the outcome of a command as its exit status.
func (o *operatorFlags) finish(stderr io.Writer, name string, err error) subcommands.ExitStatus {
	var usage usageError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return subcommands.ExitSuccess
	case errors.As(err, &usage):
		fmt.Fprintf(stderr, "samphirepoint %s: %v\n", name, err)
		return subcommands.ExitUsageError
	}
	printError(stderr, o.json, err)
	return statusOf(err)
}

// usageError is a mistake in the command line, reported with exit status 2.
type usageError struct{ error }

func usagef(format string, args ...any) error { return usageError{fmt.Errorf(format, args...)} }

// client returns a client of the entries in the list, with the token in the file.
func (o *operatorFlags) client() (*admin.Client, error) {
	var addresses []string
	for _, a := range strings.Split(o.entry, ",") {
		if a = strings.TrimSpace(a); a != "" {
			addresses = append(addresses, a)
		}
	}
	if len(addresses) == 0 {
		return nil, usagef("no entry: set -entry or %s", envEntry)
	}
	if o.tokenFile == "" {
		return nil, usagef("no token: set -token-file or %s", envTokenFile)
	}
	token, err := os.ReadFile(o.tokenFile)
	if err != nil {
		return nil, usagef("-token-file: %w", err)
	}
	return admin.NewClient(addresses, strings.TrimSpace(string(token)), &http.Client{}), nil
}

// statusOf tells a mistake in the arguments, which the entry answers with 400, from a refusal.
func statusOf(err error) subcommands.ExitStatus {
	var refusal *admin.Error
	if errors.As(err, &refusal) && refusal.Status == http.StatusBadRequest {
		return subcommands.ExitUsageError
	}
	return subcommands.ExitFailure
}

// printError prints a refusal; with -json in the form of the admin API.
func printError(w io.Writer, asJSON bool, err error) {
	if !asJSON {
		fmt.Fprintln(w, err)
		return
	}
	body := admin.ErrorBody{Error: err.Error()}
	var refusal *admin.Error
	if errors.As(err, &refusal) {
		body = refusal.Body
		body.Error = refusal.Error()
	}
	_ = printJSON(w, body)
}
