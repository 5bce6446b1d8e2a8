package status

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
)

// Client reads the status of the fleet from a daemon.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the daemon that serves its status at an address (IP:port).
func NewClient(address string, c *http.Client) *Client {
	return &Client{base: "http://" + address, http: c}
}

// Overview reads the status of the fleet.
func (c *Client) Overview(ctx context.Context) (Overview, error) {
	var o Overview
	return o, c.get(ctx, pathOverview, &o)
}

// Job reads the status of a job.
func (c *Client) Job(ctx context.Context, id string) (Job, error) {
	var j Job
	return j, c.get(ctx, pathJobs+url.PathEscape(id), &j)
}

// maxErrorBytes bounds the part of an error response that is reported.
const maxErrorBytes = 4 << 10

func (c *Client) get(ctx context.Context, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		return fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(text)))
	}
	return json.NewDecoder(resp.Body).Decode(out)
}
