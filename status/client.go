package status

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"samphirepoint/engine"
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

// Placement asks where a job would be placed. The job's ID may be empty: the daemon then chooses one at random.
func (c *Client) Placement(ctx context.Context, spec engine.Spec) (Placement, error) {
	var p Placement
	body, err := json.Marshal(spec)
	if err != nil {
		return p, err
	}
	return p, c.request(ctx, http.MethodPost, pathPlacement, bytes.NewReader(body), &p)
}

func (c *Client) get(ctx context.Context, path string, out any) error {
	return c.request(ctx, http.MethodGet, path, nil, out)
}

func (c *Client) request(ctx context.Context, method, path string, body io.Reader, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
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
