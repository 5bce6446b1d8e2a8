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

// Environment variables that hold the defaults of flags.
const (
	envEntry     = "SAMPHIREPOINT_ENTRY"
	envTokenFile = "SAMPHIREPOINT_TOKEN_FILE"
)

// operatorFlags holds the flags that are common to all commands that call the admin API.
type operatorFlags struct {
	entry, tokenFile string
	json             bool
}

// initFromEnv sets the defaults from the environment and registers the flags.
func (o *operatorFlags) initFromEnv(f *flag.FlagSet, getenv func(string) string) {
	o.entry, o.tokenFile = getenv(envEntry), getenv(envTokenFile)
	o.register(f)
}

// register adds the flags to f. They are accepted before and after the action, so each of the two flag sets registers them,
// with the current values as defaults.
func (o *operatorFlags) register(f *flag.FlagSet) {
	f.StringVar(&o.entry, "entry", o.entry, "`ADDR[,ADDR]` of entries, tried in order; default from "+envEntry)
	f.StringVar(&o.tokenFile, "token-file", o.tokenFile, "`FILE` with the operator's bearer token; default from "+envTokenFile)
	f.BoolVar(&o.json, "json", o.json, "print JSON")
}

// reportOutcome prints err, if any, and returns the exit status of the command.
func (o *operatorFlags) reportOutcome(stderr io.Writer, name string, err error) subcommands.ExitStatus {
	var usage usageError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return subcommands.ExitSuccess
	case errors.As(err, &usage):
		fmt.Fprintf(stderr, "samphirepoint %s: %v\n", name, err)
		return subcommands.ExitUsageError
	}
	printError(stderr, o.json, err)
	return exitStatusOf(err)
}

// usageError is an error in the command line, reported with exit status 2.
type usageError struct{ error }

func usageErrorf(format string, args ...any) error { return usageError{fmt.Errorf(format, args...)} }

// client returns an admin API client for the entries of -entry with the token of -token-file.
func (o *operatorFlags) client() (*admin.Client, error) {
	var addresses []string
	for _, a := range strings.Split(o.entry, ",") {
		if a = strings.TrimSpace(a); a != "" {
			addresses = append(addresses, a)
		}
	}
	if len(addresses) == 0 {
		return nil, usageErrorf("no entry: set -entry or %s", envEntry)
	}
	if o.tokenFile == "" {
		return nil, usageErrorf("no token: set -token-file or %s", envTokenFile)
	}
	token, err := os.ReadFile(o.tokenFile)
	if err != nil {
		return nil, usageErrorf("-token-file: %w", err)
	}
	return admin.NewClient(addresses, strings.TrimSpace(string(token)), &http.Client{}), nil
}

// exitStatusOf returns the exit status for err: a 400 reply means invalid arguments and counts as a usage error.
func exitStatusOf(err error) subcommands.ExitStatus {
	var rejection *admin.Error
	if errors.As(err, &rejection) && rejection.Status == http.StatusBadRequest {
		return subcommands.ExitUsageError
	}
	return subcommands.ExitFailure
}

// printError prints err, with -json as an error body of the admin API.
func printError(w io.Writer, asJSON bool, err error) {
	if !asJSON {
		fmt.Fprintln(w, err)
		return
	}
	body := admin.ErrorBody{Error: err.Error()}
	var rejection *admin.Error
	if errors.As(err, &rejection) {
		body = rejection.Body
		body.Error = rejection.Error()
	}
	_ = printJSON(w, body)
}
