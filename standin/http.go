// Package standin provides what the stand-ins for external systems share: an HTTP listener, JSON helpers and durations
// in JSON. The stand-ins replace the platform, the backend servers and a faulty network in tests and experiments.
package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"samphirepoint/network"
)

// maxBodyBytes bounds the body of a control request; a document of 210 backers takes about 60 KB.
const maxBodyBytes = 16 << 20

// Duration is a time.Duration that is encoded in JSON as text such as "250ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	if v < 0 {
		return fmt.Errorf("duration %s is negative", v)
	}
	*d = Duration(v)
	return nil
}

// Listener serves a handler on a TCP address.
type Listener struct {
	listener net.Listener
	server   *http.Server
	done     chan struct{}
}

// Listen starts to serve h on addr (IP:port; port 0 picks a free one).
func Listen(addr string, h http.Handler) (*Listener, error) { return ListenOn(network.TCP{}, addr, h) }

// ListenOn is like Listen, but listens on network n.
func ListenOn(n network.Network, addr string, h http.Handler) (*Listener, error) {
	ln, err := n.Listen(addr)
	if err != nil {
		return nil, err
	}
	return Serve(ln, h), nil
}

// Serve starts to serve h on an open listener.
func Serve(ln net.Listener, h http.Handler) *Listener {
	l := &Listener{
		listener: ln,
		server:   &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second},
		done:     make(chan struct{}),
	}
	go func() {
		defer close(l.done)
		_ = l.server.Serve(ln) // returns when Close is called
	}()
	return l
}

// Address returns IP:port.
func (l *Listener) Address() string { return l.listener.Addr().String() }

// URL returns the base URL, such as http://127.0.0.1:7000.
func (l *Listener) URL() string { return "http://" + l.Address() }

// Close closes the listener and all its connections immediately.
func (l *Listener) Close() {
	_ = l.server.Close()
	<-l.done
}

// WriteJSON responds with v encoded as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the client detects a short body by its Content-Length
}

// ReadJSON decodes the body into v. It responds with 400 and returns false if the body is not valid JSON for v or has
// unknown fields.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	if err == nil {
		if _, err = dec.Token(); errors.Is(err, io.EOF) {
			return true
		}
		err = errors.New("unexpected data after the JSON value")
	}
	http.Error(w, err.Error(), http.StatusBadRequest)
	return false
}
