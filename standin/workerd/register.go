package workerd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"samphirepoint/network"
	"samphirepoint/services"
)

// renewInterval allows two failed renewals before a registration expires after 6 s.
const renewInterval = 2 * time.Second

// Register registers an instance with the platform at the base URL.
func Register(ctx context.Context, c *http.Client, base string, in services.Instance) error {
	data, err := json.Marshal(in)
	if err != nil {
		return err
	}
	u := strings.TrimRight(base, "/") + "/instances/" + url.PathEscape(in.ID)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, u, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		return fmt.Errorf("registering %s: unexpected status %d", in.ID, resp.StatusCode)
	}
	return nil
}

// keepRegistered renews the registration until ctx ends. A failed renewal is retried at the next interval.
func (s *Server) keepRegistered(ctx context.Context) {
	client := network.Client(s.options.Network)
	client.Timeout = renewInterval
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		if !s.isOffline() {
			in := s.registrationRecord()
			if s.options.Platform != "" {
				_ = Register(ctx, client, s.options.Platform, in)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.wake:
		}
	}
}
