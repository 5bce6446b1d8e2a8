// Package request holds the request type that all filters and decisions share,
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
	HeaderReplayed          = "Samphire-Replayed"
	HeaderBodyHash          = "Samphire-Body-Hash"
	HeaderLeaving           = "Samphire-Leaving"
	HeaderBacker            = "Samphire-Backer"
	HeaderQueue             = "Samphire-Queue"
	HeaderPool              = "Samphire-Pool"
	HeaderHops              = "Samphire-Hops"
	HeaderVisited           = "Samphire-Visited"
)

// Class orders work in the queue of a pool.
type Class uint8

const (
	// Unclassified lets the system derive Short or Long from observed run times.
	Unclassified Class = iota
	// Urgent work goes first.
	Urgent
	// Short work is expected to run for less than ShortLimit.
	Short
	// Long work runs for longer and never holds all slots of a pool.
	Long
)

// ShortLimit separates short from long work: estimated p90 run time.
const ShortLimit = time.Second

// String returns the form used in the Samphire-Class header.
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

// ParseClass reads the Samphire-Class header; empty means Learned.
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
	// Hops counts forwards between entries.
	Hops int
	// Visited lists the entries that passed the request on, so a relay does not send it back.
	Visited []string
}

// BodyHash is the hexadecimal xxhash64 of a body, the form of Samphire-Body-Hash.
func BodyHash(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }
