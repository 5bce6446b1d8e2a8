package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"samphirepoint/filter"
	"samphirepoint/forward"
	"samphirepoint/request"
	"samphirepoint/verdict"
)

// errorBody is the JSON body of an error response to callers.
type errorBody struct {
	Error   string `json:"error"`
	Verdict string `json:"verdict"`
}

// writeResult writes the answer to a request, or the error if it was rejected or failed.
func writeResult(w http.ResponseWriter, c *filter.Context) {
	setRequestID(w.Header(), c)
	if c.Err != nil {
		writeError(w, c.Err)
		return
	}
	h := w.Header()
	h.Set(request.HeaderVerdict, verdict.Ran.String())
	h.Set(request.HeaderWorker, c.Answer.Worker)
	if c.Answer.Replayed {
		h.Set(request.HeaderReplayed, "true")
	}
	writeBody(w, c.Answer.Status, c.Answer.ContentType, c.Answer.Body)
}

// setRequestID names the request that the response belongs to. A request that was rejected before it was read is named as its
// sender named it; another entry would otherwise take the rejection for the answer to another request.
func setRequestID(h http.Header, c *filter.Context) {
	id := c.HTTP.Header.Get(request.HeaderRequestID)
	if c.Request != nil {
		id = c.Request.ID
	}
	if id != "" {
		h.Set(request.HeaderRequestID, id)
	}
}

// writeError writes an error response that was created by this entry, with the verdict and Retry-After of err.
func writeError(w http.ResponseWriter, err error) {
	v := verdict.Of(err)
	w.Header().Set(request.HeaderVerdict, v.String())
	w.Header().Set(forward.HeaderRefusal, "true")
	verdict.SetRetryAfter(w.Header(), verdict.RetryAfter(err))
	writeJSON(w, verdict.Status(err), errorBody{Error: err.Error(), Verdict: v.String()})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeBody(w, status, "application/json", append(body, '\n'))
}

// writeBody writes a body with its length and hash, so that the receiver can detect a truncated
// answer.
func writeBody(w http.ResponseWriter, status int, contentType string, body []byte) {
	h := w.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(request.HeaderBodyHash, request.BodyHash(body))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
