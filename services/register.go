package services

import (
	"context"
	"net/http"
	"net/url"
)

// Register puts an instance into the platform's list, or renews it there.
func (c *Client) Register(ctx context.Context, in Instance) error {
	return c.call(ctx, http.MethodPut, "/instances/"+url.PathEscape(in.ID), in, nil)
}

// Deregister takes an instance off the list.
func (c *Client) Deregister(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodDelete, "/instances/"+url.PathEscape(id), nil, nil)
}
