package dev

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"samphirepoint/settings"
)

// Guards against addresses or files of Serve that don't work with a plain HTTP client, or that become invalid while the
// deployment runs.
func TestServeWritesUsableFiles(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	out, in := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		ended <- Serve(ctx, Options{Deployment: "hraunvik", Entries: 1, Dir: dir, Log: zerolog.Nop()}, in)
		in.Close()
	}()
	callers := ""
	lines := bufio.NewScanner(out)
	for callers == "" && lines.Scan() {
		if address, found := strings.CutPrefix(lines.Text(), "callers    "); found {
			callers = address
		}
	}
	go func() { _, _ = io.Copy(io.Discard, out) }()
	g.Expect(callers).NotTo(BeEmpty())

	get := func(tokenFile, path string) int {
		token, err := os.ReadFile(filepath.Join(dir, tokenFile))
		g.Expect(err).NotTo(HaveOccurred())
		req, err := http.NewRequest(http.MethodGet, callers+path, nil)
		g.Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
		resp, err := http.DefaultClient.Do(req)
		g.Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		return resp.StatusCode
	}
	g.Expect(get(fileOperator, "/admin/table")).To(Equal(http.StatusOK))
	g.Expect(get(fileViewer, "/admin/table")).To(Equal(http.StatusOK))
	backers, err := filepath.Glob(filepath.Join(dir, "*.token"))
	g.Expect(err).NotTo(HaveOccurred())
	for _, file := range backers {
		if name := filepath.Base(file); name != fileOperator && name != fileViewer {
			g.Expect(get(name, "/v1/jobs/p.none")).To(Equal(http.StatusNotFound), name)
		}
	}
	_, err = settings.Load(filepath.Join(dir, fileExtraEntry))
	g.Expect(err).NotTo(HaveOccurred())

	cancel()
	g.Eventually(ended, "15s").Should(Receive(BeNil()))
}
