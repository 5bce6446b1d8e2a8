package services

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"

	"samphirepoint/verdict"
)

// maxReplyBytes bounds the size of a reply of the platform; a list of 1,500 instances takes about 300 KB.
const maxReplyBytes = 64 << 20

// Client is a client of the stand-in platform's HTTP protocol. It implements Table and provides Objects and Instances.
type Client struct {
	base string
	http *http.Client

	// cachedList is the last instance list with its entity tag, for conditional requests.
	cachedList atomic.Pointer[taggedInstances]
}

type taggedInstances struct {
	tag  string
	list []Instance
}

// NewClient returns a client of the platform at base, such as http://127.0.0.1:7000. A nil c means
// http.DefaultClient.
func NewClient(base string, c *http.Client) *Client {
	if c == nil {
		c = http.DefaultClient
	}
	return &Client{base: strings.TrimRight(base, "/"), http: c}
}

// Objects returns the object store of the platform.
func (c *Client) Objects() Objects { return objectClient{c} }

// Instances returns the instance list of the platform.
func (c *Client) Instances() Instances { return instanceClient{c} }

// ListRequest is the body of POST /table/list.
type ListRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// CommitRequest is the body of POST /table/commit.
type CommitRequest struct {
	Writes []Write `json:"writes"`
}

// CommitReply is the response body of POST /table/commit.
type CommitReply struct {
	Versions []int64 `json:"versions"`
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.call(ctx, http.MethodGet, "/table/rows/"+url.PathEscape(key), nil, &row)
	return row, err
}

// List implements Table.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var rows []Row
	err := c.call(ctx, http.MethodPost, "/table/list", ListRequest{Prefix: prefix, After: after, Limit: limit}, &rows)
	return rows, err
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, writes []Write) ([]int64, error) {
	var reply CommitReply
	err := c.call(ctx, http.MethodPost, "/table/commit", CommitRequest{Writes: writes}, &reply)
	if err != nil {
		return nil, err
	}
	if len(reply.Versions) != len(writes) {
		return nil, fmt.Errorf("table: %d versions for %d writes", len(reply.Versions), len(writes))
	}
	return reply.Versions, nil
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return verdict.Wrap(err, verdict.NotRun, http.StatusInternalServerError)
		}
		body = bytes.NewReader(data)
	}
	data, err := c.do(ctx, method, path, body)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("platform reply to %s %s: %w", method, path, err)
	}
	return nil
}

func (c *Client) do(ctx context.Context, method, path string, body io.Reader) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, http.StatusInternalServerError)
	}
	data, _, err := c.send(req)
	return data, err
}

// errNotModified reports that the object of a conditional request did not change.
var errNotModified = errors.New("not modified")

// send sends a request and maps the status of the response to an error.
func (c *Client) send(req *http.Request) ([]byte, http.Header, error) {
	method, path := req.Method, strings.TrimPrefix(req.URL.String(), c.base)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, classifyTransportError(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return nil, nil, fmt.Errorf("platform reply to %s %s: %w", method, path, err)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return data, resp.Header, nil
	case http.StatusNotModified:
		return nil, nil, errNotModified
	case http.StatusConflict:
		return nil, nil, ErrConflict
	case http.StatusNotFound:
		return nil, nil, ErrNotFound
	case http.StatusServiceUnavailable, http.StatusBadRequest:
		// The platform responds with these statuses before it accesses the table.
		return nil, nil, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "platform rejected %s: %s", path, strings.TrimSpace(string(data)))
	}
	return nil, nil, fmt.Errorf("platform: %s %s: status %d", method, path, resp.StatusCode)
}

// classifyTransportError gives errors of connection setup the verdict NotRun, since no byte of the request was sent.
func classifyTransportError(err error) error {
	if verdict.NeverSent(err) {
		return verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable)
	}
	return err
}

type objectClient struct{ c *Client }

func (o objectClient) Put(ctx context.Context, key string, data []byte) error {
	_, err := o.c.do(ctx, http.MethodPut, "/objects/"+url.PathEscape(key), bytes.NewReader(data))
	return err
}

func (o objectClient) Get(ctx context.Context, key string) ([]byte, error) {
	return o.c.do(ctx, http.MethodGet, "/objects/"+url.PathEscape(key), nil)
}

type instanceClient struct{ c *Client }

// List implements Instances. An unchanged list is not transferred again if the platform uses entity tags: 1,500
// instances take about 300 KB, and each entry reads the list every 2 s.
func (i instanceClient) List(ctx context.Context) ([]Instance, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, i.c.base+"/instances", nil)
	if err != nil {
		return nil, err
	}
	cached := i.c.cachedList.Load()
	if cached != nil {
		req.Header.Set("If-None-Match", cached.tag)
	}
	data, header, err := i.c.send(req)
	if errors.Is(err, errNotModified) && cached != nil {
		return slices.Clone(cached.list), nil
	}
	if err != nil {
		return nil, err
	}
	var list []Instance
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, fmt.Errorf("platform reply to GET /instances: %w", err)
	}
	if tag := header.Get("ETag"); tag != "" {
		i.c.cachedList.Store(&taggedInstances{tag: tag, list: slices.Clone(list)})
	}
	return list, nil
}
