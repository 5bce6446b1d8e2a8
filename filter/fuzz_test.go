package filter

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"samphirepoint/auth"
	"samphirepoint/request"
)

// FuzzHeaders guards against caller headers that crash an entry, or that parse into a request that violates what the later
// filters rely on.
func FuzzHeaders(f *testing.F) {
	f.Add("r1", "k1", "false", "short", "1500ms", "2026-01-02T15:04:05Z", "check", "1", "pool", false)
	f.Add("", "", "", "", "", "", "", "", "", true)
	f.Add("a/b", "k\x00", "no", "longest", "-1s", "yesterday", "é", "-3", "p", true)
	f.Add("r", "", "false", "", "9999h", "", "", "99", "p", false)
	f.Fuzz(func(t *testing.T, id, key, idempotent, class, deadline, issued, kind, hops, pool string, forwarded bool) {
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		r.Header = http.Header{
			request.HeaderRequestID: {id}, request.HeaderIdempotencyKey: {key}, request.HeaderIdempotent: {idempotent},
			request.HeaderClass: {class}, request.HeaderDeadline: {deadline}, request.HeaderIdempotencyIssued: {issued},
			request.HeaderKind: {kind}, request.HeaderHops: {hops}, request.HeaderPool: {pool}, request.HeaderBacker: {"b"},
		}
		c := &Context{HTTP: r, QueueName: "q", Principal: auth.Principal{Name: "b"}, Forwarded: forwarded}
		parsed, err := Identification{EntryID: "entry-1"}.parse(c)
		if err != nil {
			return
		}
		switch {
		case parsed.ID == "" || len(parsed.ID) > maxNameBytes:
			t.Errorf("request id %q", parsed.ID)
		case !parsed.Idempotent && parsed.Key == "":
			t.Error("non-idempotent request without a key")
		case !parsed.Deadline.After(parsed.Received) || parsed.Deadline.Sub(parsed.Received) > maxDeadline:
			t.Errorf("deadline %s of a request received at %s", parsed.Deadline, parsed.Received)
		case !parsed.KeyIssued.IsZero() && time.Until(parsed.KeyIssued) > maxIssuedAhead:
			t.Errorf("key issued at %s", parsed.KeyIssued)
		case forwarded && parsed.Pool == "":
			t.Error("forwarded request without a pool")
		}
	})
}
