package services

import (
	"context"
	"net/http"
	"net/url"
)

// Register adds an instance to the platform's list or renews its registration.
func (c *Client) Register(ctx context.Context, in Instance) error {
	return c.call(ctx, http.MethodPut, "/instances/"+url.PathEscape(in.ID), in, nil)
}

// Deregister removes an instance from the platform's list.
func (c *Client) Deregister(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodDelete, "/instances/"+url.PathEscape(id), nil, nil)
}
