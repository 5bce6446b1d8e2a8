package dev

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"go.yaml.in/yaml/v3"

	"samphirepoint/auth"
)

const (
	// viewerName is the principal that the viewer token identifies.
	viewerName = "dev-viewer"
	// peerPortOffset and platformPortOffset are the offsets of the fixed ports of a deployment from CallerPort, as in
	// the sample settings: platform 7000, callers from 7001, peers from 7101.
	peerPortOffset     = 100
	platformPortOffset = -1
	// MaxFixedPortEntries is the number of entries up to which the caller ports stay below the peer ports.
	MaxFixedPortEntries = peerPortOffset
)

// Names of the files that Serve writes, in addition to BACKER.token for each backer.
const (
	fileOperator   = "operator.token"
	fileViewer     = "viewer.token"
	fileLoadTokens = "load-tokens.yaml"
	fileTokens     = "tokens.yaml"
	fileExtraEntry = "extra-entry.yaml"
	fileWorkers    = "workers.txt"
)

// Serve starts a deployment without load, writes its tokens and addresses into o.Dir, prints a summary to out and keeps
// the deployment running until ctx is done. The files remain, unless Serve created the directory itself.
func Serve(ctx context.Context, o Options, out io.Writer) error {
	c, err := Start(ctx, o)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.writeFiles(); err != nil {
		return err
	}
	c.describe(out)
	<-ctx.Done()
	c.Options.Progress("stopping")
	return nil
}

// writeFiles writes the tokens, addresses and settings with which the deployment can be used from a shell.
func (c *Cluster) writeFiles() error {
	loadTokens, err := yaml.Marshal(c.Tokens)
	if err != nil {
		return err
	}
	files := map[string]string{
		fileOperator:   c.OperatorToken + "\n",
		fileViewer:     c.viewerToken + "\n",
		fileLoadTokens: string(loadTokens),
		fileExtraEntry: c.extraEntry(),
		fileWorkers:    c.workerList(),
	}
	for backer, token := range c.Tokens {
		files[backer+".token"] = token + "\n"
	}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(c.dir, name), []byte(content), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// workerList returns one line per worker: id, pool, address.
func (c *Cluster) workerList() string {
	var b strings.Builder
	for i, w := range c.Workers {
		fmt.Fprintf(&b, "%s %s %s\n", c.initialWorkers[i].ID, c.initialWorkers[i].Pool, w.Address())
	}
	return b.String()
}

// extraEntry returns the settings of an additional entry that runs in its own process and can be stopped or killed.
func (c *Cluster) extraEntry() string {
	names := zones[c.Options.Deployment]
	callers, peers := "127.0.0.1:0", "127.0.0.1:0"
	if c.Options.CallerPort > 0 {
		callers, peers = c.addresses(c.Options.Entries)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "# One more entry of this deployment: samphirepoint entry -settings %s\n", filepath.Join(c.dir, fileExtraEntry))
	fmt.Fprintf(&b, "id: entry-%d\nzone: %s\nzones: [%s]\n", c.Options.Entries+1, names[0], strings.Join(names, ", "))
	fmt.Fprintf(&b, "listen:\n  callers: %s\n  peers: %s\n", callers, peers)
	fmt.Fprintf(&b, "platform: %s\npeers: [%s]\ntokens: %s\n", c.platformURL, c.Entries[0].PeerAddress(), fileTokens)
	return b.String()
}

// addresses returns the fixed addresses of entry i, counted from 0.
func (c *Cluster) addresses(i int) (callers, peers string) {
	port := c.Options.CallerPort + i
	return fmt.Sprintf("127.0.0.1:%d", port), fmt.Sprintf("127.0.0.1:%d", port+peerPortOffset)
}

func (c *Cluster) platformAddress() string {
	if c.Options.CallerPort == 0 {
		return "127.0.0.1:0"
	}
	return fmt.Sprintf("127.0.0.1:%d", c.Options.CallerPort+platformPortOffset)
}

// describe prints the addresses and files of the deployment and example commands for a first-time user.
func (c *Cluster) describe(out io.Writer) {
	fmt.Fprintf(out, "deployment %s is up: %d workers, %d entries\n\n", c.Options.Deployment, len(c.Workers), len(c.Entries))
	fmt.Fprintf(out, "platform   %s\n", c.platformURL)
	for _, e := range c.Entries {
		fmt.Fprintf(out, "callers    http://%s\n", e.CallerAddress())
	}
	queue, backer := c.Document.Queues[0].Name, c.Document.Backers[0].Name
	if allowed := c.Document.Queues[0].Backers; len(allowed) > 0 {
		backer = allowed[0]
	}
	fmt.Fprintf(out, "\ntokens     %s (BACKER.token, %s, %s)\n", c.dir, fileViewer, fileOperator)
	fmt.Fprintf(out, "workers    %s\n", filepath.Join(c.dir, fileWorkers))
	fmt.Fprintf(out, "\nTry, in another shell:\n")
	fmt.Fprintf(out, "  curl -i -H \"Authorization: Bearer $(cat %s)\" -d '{\"runMs\": 50}' http://%s/v1/queues/%s/requests\n",
		filepath.Join(c.dir, backer+".token"), c.Entries[0].CallerAddress(), queue)
	fmt.Fprintf(out, "  samphirepoint table -entry %s -token-file %s show\n", c.Entries[0].CallerAddress(), filepath.Join(c.dir, fileOperator))
	fmt.Fprintf(out, "\nInterrupt with Ctrl-C to stop.\n")
}

// newToken returns a new token and adds the line for it to the file.
func (f *tokenFile) newToken(name string, role auth.Role) string {
	token, line := auth.NewToken(name, role)
	f.Tokens = append(f.Tokens, line)
	return token
}
