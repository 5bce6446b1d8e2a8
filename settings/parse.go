package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"
)

// maxApplyTime is the target for the time in which an accepted change takes effect at every live entry (property P8).
const maxApplyTime = 7 * time.Second

// Parse parses and validates data as the content of the named file. The error has type Errors.
func Parse(file string, data []byte) (*Settings, error) {
	s := Default()
	s.sourceFile = file
	d := &decoder{file: file, lines: map[string]int{}}
	if root := d.document(data); root != nil {
		d.mapping("", root, s.fields(d)...)
		s.validate(d)
	}
	if len(d.errors) > 0 {
		slices.SortStableFunc(d.errors, func(a, b *Error) int { return a.Line - b.Line })
		return nil, d.errors
	}
	s.setDerived()
	return &s, nil
}

func (s *Settings) fields(d *decoder) []field {
	const name = "a name of letters, digits, dots, dashes and underscores"
	const address = "IP:port, such as 10.0.0.1:7100"
	return []field{
		{"id", name, d.text(&s.ID, name, checkName)},
		{"zone", "one of the names in zones", d.text(&s.Zone, name, checkName)},
		{"region", "", d.text(&s.Region, name, checkName)},
		{"zones", "the list of all zones", d.list(&s.Zones, name, checkName)},
		{"listen", "the keys callers and peers", d.section(
			field{"callers", address, d.text(&s.Listen.Callers, address, checkListen)},
			field{"peers", address, d.text(&s.Listen.Peers, address, checkListen)},
		)},
		{"advertise", "", d.section(
			field{"callers", "", d.text(&s.Advertise.Callers, address, checkAddress)},
			field{"peers", "", d.text(&s.Advertise.Peers, address, checkAddress)},
		)},
		{"platform", "a URL such as http://10.0.0.1:7000", d.text(&s.Platform, "a URL such as http://10.0.0.1:7000", checkURL)},
		{"peers", "", d.list(&s.Peers, address, checkAddress)},
		{"tokens", "", d.text(&s.Tokens, "a file name", nil)},
		{"tls", "", d.section(
			field{"callers", "", d.section(tlsFields(d, &s.CallerTLS)...)},
			field{"peers", "", d.section(tlsFields(d, &s.PeerTLS)...)},
		)},
		{"limits", "", d.section(
			field{"maxBodyBytes", "", d.size(&s.Limits.MaxBodyBytes)},
			field{"maxHeaderBytes", "", d.size(&s.Limits.MaxHeaderBytes)},
			field{"maxQueueLength", "", d.count(&s.Limits.MaxQueueLength)},
		)},
		{"log", "", d.section(
			field{"level", "", d.choice(&s.LogLevel, "debug", "info", "warn", "error")},
		)},
		{"shutdown", "", d.section(
			field{"balancerDelay", "", d.duration(&s.Shutdown.BalancerDelay)},
			field{"drainTimeout", "", d.duration(&s.Shutdown.DrainTimeout)},
		)},
		{"policies", "", d.section(
			field{"queue", "", d.choice(&s.Policies.Queue, "weighted", "fifo")},
			field{"placement", "", d.choice(&s.Policies.Placement, "leastLoaded", "random")},
			field{"shares", "", d.choice(&s.Policies.Shares, "owner", "static-split")},
		)},
		{"moves", "", d.section(
			field{"policy", "", d.choice(&s.Moves.Policy, "learned", "fixed", "greedy")},
			field{"bufferCost", "", d.weight(&s.Moves.BufferCost)},
			field{"moveCost", "", d.weight(&s.Moves.MoveCost)},
			field{"blockingCost", "", d.weight(&s.Moves.BlockingCost)},
		)},
		{"timings", "", d.section(timingFields(d, &s.Timings)...)},
	}
}

func tlsFields(d *decoder, t *TLS) []field {
	return []field{
		{"certificate", "the name of a PEM file", d.text(&t.Certificate, "the name of a PEM file", nil)},
		{"key", "the name of a PEM file", d.text(&t.Key, "the name of a PEM file", nil)},
		{"authorities", "", d.text(&t.Authorities, "the name of a PEM file", nil)},
	}
}

func timingFields(d *decoder, t *Timings) []field {
	return []field{
		{"gossipInterval", "", d.duration(&t.GossipInterval)},
		{"suspectAfter", "", d.duration(&t.SuspectAfter)},
		{"forgetAfter", "", d.duration(&t.ForgetAfter)},
		{"pingTimeout", "", d.duration(&t.PingTimeout)},
		{"forwardSilence", "", d.duration(&t.ForwardSilence)},
		{"pollInterval", "", d.duration(&t.PollInterval)},
		{"freshFor", "", d.duration(&t.FreshFor)},
		{"freshCheck", "", d.duration(&t.FreshCheck)},
		{"backoffMin", "", d.duration(&t.BackoffMin)},
		{"backoffMax", "", d.duration(&t.BackoffMax)},
		{"claimBatch", "", d.duration(&t.ClaimBatch)},
		{"claimTimeout", "", d.duration(&t.ClaimTimeout)},
		{"recordTimeout", "", d.duration(&t.RecordTimeout)},
		{"leaseTerm", "", d.duration(&t.LeaseTerm)},
		{"leaseRenew", "", d.duration(&t.LeaseRenew)},
		{"registerInterval", "", d.duration(&t.RegisterInterval)},
	}
}

// validate checks settings that depend on each other. Values that failed to decode are empty and are skipped.
func (s *Settings) validate(d *decoder) {
	if s.Zone != "" && len(s.Zones) > 0 && !slices.Contains(s.Zones, s.Zone) {
		d.addError(d.lines["zone"], "zone", "one of "+strings.Join(s.Zones, ", "), "zone %q is not in zones", s.Zone)
	}
	s.validateAdvertised(d, "callers", s.Listen.Callers, s.Advertise.Callers)
	s.validateAdvertised(d, "peers", s.Listen.Peers, s.Advertise.Peers)
	if s.Listen.Callers != "" && s.Listen.Callers == s.Listen.Peers && !strings.HasSuffix(s.Listen.Peers, ":0") {
		d.addError(d.lines["listen.peers"], "listen.peers", "another port", "is the same address as listen.callers")
	}
	s.validateTimings(d)
}

// validateAdvertised requires an advertised address if the bound address is unspecified.
func (s *Settings) validateAdvertised(d *decoder, key, listen, advertise string) {
	bound, err := netip.ParseAddrPort(listen)
	if err != nil || advertise != "" || d.lines["advertise."+key] > 0 || !bound.Addr().IsUnspecified() {
		return
	}
	d.addError(d.lines["listen."+key], "advertise."+key, "IP:port under which others reach "+listen, "missing")
}

func (s *Settings) validateTimings(d *decoder) {
	t := s.Timings
	requireLess := func(key string, low, high time.Duration, other string) {
		if low >= high {
			line := max(d.lines["timings."+key], d.lines["timings."+other])
			d.addError(line, "timings."+key, fmt.Sprintf("less than %s (%v)", other, high), "is %v", low)
		}
	}
	requireLess("gossipInterval", t.GossipInterval, t.SuspectAfter, "suspectAfter")
	requireLess("suspectAfter", t.SuspectAfter, t.ForgetAfter, "forgetAfter")
	requireLess("backoffMin", t.BackoffMin, t.BackoffMax, "backoffMax")
	requireLess("leaseRenew", 2*t.LeaseRenew, t.LeaseTerm, "leaseTerm")
	requireLess("pollInterval", t.PollInterval, t.FreshFor, "freshFor")
	if t.FreshFor+t.FreshCheck > maxApplyTime {
		line := max(d.lines["timings.freshFor"], d.lines["timings.freshCheck"])
		d.addError(line, "timings.freshFor", fmt.Sprintf("freshFor + freshCheck of at most %v, the time in which a change must be in force", maxApplyTime),
			"%v + %v is too long", t.FreshFor, t.FreshCheck)
	}
}

// setDerived sets values that are derived from others.
func (s *Settings) setDerived() {
	if s.Advertise.Callers == "" {
		s.Advertise.Callers = s.Listen.Callers
	}
	if s.Advertise.Peers == "" {
		s.Advertise.Peers = s.Listen.Peers
	}
	s.Tokens = s.resolve(s.Tokens)
	for _, t := range []*TLS{&s.CallerTLS, &s.PeerTLS} {
		t.Certificate, t.Key, t.Authorities = s.resolve(t.Certificate), s.resolve(t.Key), s.resolve(t.Authorities)
	}
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func checkName(s string) error {
	if !namePattern.MatchString(s) {
		return fmt.Errorf("%q is not a valid name", s)
	}
	return nil
}

// checkListen checks an address to bind. Port 0 is valid: the kernel then chooses the port.
func checkListen(s string) error {
	if _, err := netip.ParseAddrPort(s); err != nil {
		return fmt.Errorf("%q is not an IP address with port", s)
	}
	return nil
}

// checkAddress checks an address to dial. Host names are invalid, since there is no name service.
func checkAddress(s string) error {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return fmt.Errorf("%q is not an IP address with port", s)
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() {
		return fmt.Errorf("%q cannot be dialled", s)
	}
	return nil
}

func checkURL(s string) error {
	u, err := url.Parse(s)
	if err != nil {
		return fmt.Errorf("%q is not a URL", s)
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return fmt.Errorf("%q does not start with http:// or https://", s)
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return errors.New("URL has parts beyond scheme, address and path")
	}
	host := u.Host
	if u.Port() == "" {
		host += ":80"
	}
	if err := checkAddress(host); err != nil {
		return fmt.Errorf("host %q is not an IP address", u.Host)
	}
	return nil
}
