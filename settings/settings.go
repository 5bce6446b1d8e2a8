// Package settings loads and validates the YAML settings of an entry. Decoding is strict: every error is reported with
// file, line and key, and all errors of a file are reported at once.
package settings

import (
	"os"
	"path/filepath"
	"time"
)

// Settings holds the validated settings of one entry process.
type Settings struct {
	// ID identifies the entry in the membership view and in the platform's instance list.
	ID     string
	Zone   string
	Region string
	// Zones lists all zones of the deployment, including Zone.
	Zones []string
	// Listen holds the addresses that the process binds, Advertise those that others connect to. The default of an
	// advertised address is the bound one, with the port that the kernel has chosen if the port is 0.
	Listen    Addresses
	Advertise Addresses
	// Platform is the base URL of the platform.
	Platform string
	// Peers are peer addresses of other entries that are contacted first.
	Peers []string
	// Tokens is the path of the token file. An entry does not start without it.
	Tokens     string
	CallerTLS  TLS
	PeerTLS    TLS
	Limits     Limits
	LogLevel   string
	Shutdown   Shutdown
	Policies   Policies
	Moves      Moves
	Timings    Timings
	sourceFile string
}

// Addresses are IP:port pairs.
type Addresses struct {
	// Callers is the address for callers, operators, health checks and metrics.
	Callers string
	// Peers is the address for other entries.
	Peers string
}

// TLS names the PEM files of a listener. Without a certificate it serves plain HTTP.
type TLS struct {
	Certificate string
	Key         string
	// Authorities verifies the certificates of the other side and makes client certificates mandatory.
	Authorities string
}

// Enabled reports whether a certificate is configured.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// Limits bounds the memory that one caller can make the process use.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int64
	// MaxQueueLength bounds the requests that wait in the queues of one pool.
	MaxQueueLength int
}

// Shutdown holds the timings of a graceful shutdown.
type Shutdown struct {
	// BalancerDelay is the time from the failing readiness probe to the closing of the listener, in which the load
	// balancer removes the entry.
	BalancerDelay time.Duration
	// DrainTimeout bounds the wait for requests in flight to complete.
	DrainTimeout time.Duration
}

// Policies selects the policies; the second value of each field is the baseline for comparisons.
type Policies struct {
	Queue     string // weighted or fifo
	Placement string // leastLoaded or random
	Shares    string // owner or static-split
}

// Moves selects the policy of instance moves and the weights of the costs that it compares.
type Moves struct {
	Policy string // learned, fixed or greedy
	// BufferCost is the weight of an idle worker-second, MoveCost that of a move of one instance and BlockingCost that of
	// a second for which short work waits.
	BufferCost   float64
	MoveCost     float64
	BlockingCost float64
}

// Timings holds the intervals and timeouts of section 3 of the design document.
type Timings struct {
	GossipInterval   time.Duration
	SuspectAfter     time.Duration
	ForgetAfter      time.Duration
	PingTimeout      time.Duration
	ForwardSilence   time.Duration
	PollInterval     time.Duration
	FreshFor         time.Duration
	FreshCheck       time.Duration
	BackoffMin       time.Duration
	BackoffMax       time.Duration
	ClaimBatch       time.Duration
	ClaimTimeout     time.Duration
	RecordTimeout    time.Duration
	LeaseTerm        time.Duration
	LeaseRenew       time.Duration
	RegisterInterval time.Duration
}

// Default returns settings with every optional value set.
func Default() Settings {
	return Settings{
		Limits: Limits{
			MaxBodyBytes:   8 << 20,
			MaxHeaderBytes: 32 << 10,
			MaxQueueLength: 20_000,
		},
		LogLevel: "info",
		Shutdown: Shutdown{BalancerDelay: 3 * time.Second, DrainTimeout: 2 * time.Minute},
		Policies: Policies{Queue: "weighted", Placement: "leastLoaded", Shares: "owner"},
		Moves:    Moves{Policy: "learned", BufferCost: 1, MoveCost: 1, BlockingCost: 1},
		Timings: Timings{
			GossipInterval:   time.Second,
			SuspectAfter:     3 * time.Second,
			ForgetAfter:      time.Minute,
			PingTimeout:      500 * time.Millisecond,
			ForwardSilence:   500 * time.Millisecond,
			PollInterval:     2 * time.Second,
			FreshFor:         5 * time.Second,
			FreshCheck:       250 * time.Millisecond,
			BackoffMin:       500 * time.Millisecond,
			BackoffMax:       8 * time.Second,
			ClaimBatch:       5 * time.Millisecond,
			ClaimTimeout:     2 * time.Second,
			RecordTimeout:    time.Second,
			LeaseTerm:        10 * time.Second,
			LeaseRenew:       3 * time.Second,
			RegisterInterval: 2 * time.Second,
		},
	}
}

// Load reads and validates a file. File names in it are relative to its directory. The error has type Errors unless the
// file cannot be read.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, data)
}

// Files maps the keys of the settings that name files to the names.
func (s *Settings) Files() map[string]string {
	files := map[string]string{
		"tokens":                  s.Tokens,
		"tls.callers.certificate": s.CallerTLS.Certificate,
		"tls.callers.key":         s.CallerTLS.Key,
		"tls.callers.authorities": s.CallerTLS.Authorities,
		"tls.peers.certificate":   s.PeerTLS.Certificate,
		"tls.peers.key":           s.PeerTLS.Key,
		"tls.peers.authorities":   s.PeerTLS.Authorities,
	}
	for key, file := range files {
		if file == "" {
			delete(files, key)
		}
	}
	return files
}

// resolve resolves a relative file name against the directory of the settings file.
func (s *Settings) resolve(name string) string {
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(s.sourceFile), name)
}
