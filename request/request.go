// Package request defines the request type that all filters and scheduling decisions share,
// and the names of the HTTP headers between callers, entries and backend servers.
package request

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Header names of the caller and worker interfaces.
const (
	HeaderIdempotencyKey    = "Idempotency-Key"
	HeaderIdempotencyIssued = "Idempotency-Issued"
	HeaderKind              = "Samphire-Kind"
	HeaderClass             = "Samphire-Class"
	HeaderDeadline          = "Samphire-Deadline"
	HeaderIdempotent        = "Samphire-Idempotent"
	HeaderRequestID         = "Samphire-Request-Id"
	HeaderAttempt           = "Samphire-Attempt"
	HeaderVerdict           = "Samphire-Verdict"
	HeaderWorker            = "Samphire-Worker"
	HeaderIncarnation       = "Samphire-Incarnation"
	HeaderReplayed          = "Samphire-Replayed"
	HeaderBodyHash          = "Samphire-Body-Hash"
	HeaderLeaving           = "Samphire-Leaving"
	HeaderBacker            = "Samphire-Backer"
	HeaderQueue             = "Samphire-Queue"
	HeaderPool              = "Samphire-Pool"
	HeaderHops              = "Samphire-Hops"
	HeaderVisited           = "Samphire-Visited"
)

// Class is the priority class of a request in the queue of its pool.
type Class uint8

const (
	// Unclassified work is classified as Short or Long by its observed run times.
	Unclassified Class = iota
	// Urgent work is scheduled first.
	Urgent
	// Short work is expected to run for less than ShortLimit.
	Short
	// Long work is expected to run for longer and never occupies all slots of a pool.
	Long
)

// ShortLimit is the estimated p90 run time that separates short from long work.
const ShortLimit = time.Second

// String returns the value of the Samphire-Class header; it is empty for Unclassified.
func (c Class) String() string {
	switch c {
	case Urgent:
		return "urgent"
	case Short:
		return "short"
	case Long:
		return "long"
	default:
		return ""
	}
}

// ParseClass parses the value of the Samphire-Class header; an empty value means Unclassified.
func ParseClass(s string) (Class, error) {
	switch s {
	case "":
		return Unclassified, nil
	case "urgent":
		return Urgent, nil
	case "short":
		return Short, nil
	case "long":
		return Long, nil
	}
	return Unclassified, fmt.Errorf("unknown class %q, expected urgent, short, long or none", s)
}

// Request is one unit of work on its way from a caller to a worker.
// The fields are set by the identification filter and do not change afterwards.
type Request struct {
	ID          string
	Backer      string
	Queue       string
	Pool        string
	Kind        string
	Class       Class
	Idempotent  bool
	Key         string
	KeyIssued   time.Time
	Received    time.Time
	Deadline    time.Time
	ContentType string
	Body        []byte
	// Hops is the number of times that the request was forwarded between entries.
	Hops int
	// Visited lists the entries that forwarded the request, so that it is not forwarded back to one of them.
	Visited []string
}

// BodyHash returns the hexadecimal xxhash64 of a body, the value of the Samphire-Body-Hash header.
func BodyHash(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }
