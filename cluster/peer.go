package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"samphirepoint/network"
	"samphirepoint/verdict"
)

// Daemons exchange JSON over HTTP, one response per call. The verdict of an error is sent in a header.
const (
	peerPath      = "/v1/call"
	verdictHeader = "Samphire-Verdict"
	maxPeerBytes  = 8 << 20
	// dialTimeout bounds connection setup; a host that is powered off doesn't refuse connections.
	dialTimeout = 400 * time.Millisecond
	// silentAfter is the time without an answer after which a connection counts as silent rather than the daemon as slow.
	silentAfter = time.Second
	// peerCallTimeout bounds a call whose context has no earlier deadline.
	peerCallTimeout = 3 * time.Second
)

// peerClient calls other daemons.
type peerClient struct {
	http *http.Client
}

// newPeerClient returns a client that opens connections through n, or over TCP if n is nil.
func newPeerClient(n network.Network) *peerClient {
	return &peerClient{http: &http.Client{Transport: &http.Transport{
		DialContext: network.Dialer(n, dialTimeout, 0), MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}}}
}

// call sends a call to a daemon. An error before a connection was established has verdict not-run.
func (p *peerClient) call(ctx context.Context, address string, c wireCall) (wireResult, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	body, err := json.Marshal(c)
	if err != nil {
		return wireResult{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+peerPath, bytes.NewReader(body))
	if err != nil {
		return wireResult{}, err
	}
	began := time.Now()
	resp, err := p.http.Do(req)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) && time.Since(began) > silentAfter {
			p.http.CloseIdleConnections() // They may have gone silent together.
		}
		return wireResult{}, verdict.FromTransport(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxPeerBytes))
	if err != nil {
		return wireResult{}, verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway)
	}
	if resp.StatusCode != http.StatusOK {
		return wireResult{}, remoteError(resp, string(data))
	}
	var r wireResult
	if err := json.Unmarshal(data, &r); err != nil {
		return wireResult{}, verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway)
	}
	return r, nil
}

// remoteError builds the error that a daemon's response describes.
func remoteError(resp *http.Response, text string) error {
	v, err := verdict.Parse(resp.Header.Get(verdictHeader))
	if err != nil {
		v = verdict.MayHaveRun
	}
	e := verdict.New(v, resp.StatusCode, "%s", text)
	return verdict.WithRetryAfterHeader(e, resp.Header)
}

// PeerHandler returns the HTTP handler for calls from other daemons.
func (n *Node) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+peerPath, func(w http.ResponseWriter, r *http.Request) {
		var c wireCall
		if err := json.NewDecoder(io.LimitReader(r.Body, maxPeerBytes)).Decode(&c); err != nil {
			writeError(w, verdict.Wrap(err, verdict.NotRun, http.StatusBadRequest))
			return
		}
		res, err := n.handle(r.Context(), c.Pool, c.decode())
		if err != nil {
			writeError(w, err)
			return
		}
		_ = json.NewEncoder(w).Encode(res)
	})
	return mux
}

func writeError(w http.ResponseWriter, err error) {
	w.Header().Set(verdictHeader, verdict.Of(err).String())
	verdict.SetRetryAfter(w.Header(), verdict.RetryAfter(err))
	w.WriteHeader(verdict.Status(err))
	_, _ = io.WriteString(w, err.Error())
}
