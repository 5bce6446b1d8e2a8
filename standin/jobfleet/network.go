package jobfleet

import (
	"regexp"
	"slices"
	"sync"

	"samphirepoint/rows"
	"samphirepoint/standin/faultproxy"
)

// EndpointKind says what an endpoint of the network is.
type EndpointKind uint8

// The kinds of endpoint.
const (
	EndpointDaemon EndpointKind = iota
	EndpointWorker
	EndpointStore
	EndpointInstances
	EndpointAdviser
)

// Endpoint is one end of a connection. The store, the instance service and the adviser are in no availability zone.
type Endpoint struct {
	Kind EndpointKind
	Zone string
	// Name is the name of the daemon or the ID of the worker.
	Name string
}

// Partition reports whether data sent by one endpoint to another is held back.
type Partition func(from, to Endpoint) bool

// View is the platform as one daemon reaches it. It replaces each address in the rows that the daemon reads by that of a proxy, and
// restores it in the rows that the daemon writes, so that the path between any two endpoints can be cut.
type View struct {
	fleet *Fleet
	self  Endpoint
	// address is the one at which other daemons reach this daemon.
	address                           string
	storeAddr, cloudAddr, adviserAddr string

	mu      sync.Mutex
	proxies map[string]*faultproxy.Proxy // by target
	targets map[string]string            // by the address of the proxy
}

// NewView returns the view of a daemon that listens for other daemons at the given address.
func (f *Fleet) NewView(daemon Endpoint, address string) (*View, error) {
	v := &View{fleet: f, self: daemon, address: address, proxies: map[string]*faultproxy.Proxy{}, targets: map[string]string{}}
	f.mu.Lock()
	defer f.mu.Unlock()
	store, err := f.serve(f.storeHandler(v))
	if err != nil {
		return nil, err
	}
	adviser, err := f.serve(f.adviserHandler())
	if err != nil {
		return nil, err
	}
	f.endpoints[address], f.endpoints[store], f.endpoints[adviser] = daemon, Endpoint{Kind: EndpointStore}, Endpoint{Kind: EndpointAdviser}
	if v.storeAddr, err = v.proxyFor(store); err != nil {
		return nil, err
	}
	if v.cloudAddr, err = v.proxyFor(f.cloudAddr); err != nil {
		return nil, err
	}
	if v.adviserAddr, err = v.proxyFor(adviser); err != nil {
		return nil, err
	}
	f.views = append(f.views, v)
	return v, nil
}

// StoreAddress returns the address of the store for the daemon.
func (v *View) StoreAddress() string { return v.storeAddr }

// CloudAddress returns the address of the instance service for the daemon.
func (v *View) CloudAddress() string { return v.cloudAddr }

// AdviserAddress returns the address of the adviser for the daemon.
func (v *View) AdviserAddress() string { return v.adviserAddr }

// SetPartition puts a partition in force, for open connections as well. Nil heals the network.
func (f *Fleet) SetPartition(p Partition) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partition = p
	for _, v := range f.views {
		v.mu.Lock()
		for target, proxy := range v.proxies {
			proxy.Set(v.faultsTo(target))
		}
		v.mu.Unlock()
	}
}

// faultsTo returns the faults of the path to a target. The caller must hold the fleet's mutex.
func (v *View) faultsTo(target string) faultproxy.Faults {
	to, known := v.fleet.endpoints[target]
	if !known || v.fleet.partition == nil {
		return faultproxy.Faults{}
	}
	return faultproxy.Faults{
		Up:   faultproxy.Direction{Cut: v.fleet.partition(v.self, to)},
		Down: faultproxy.Direction{Cut: v.fleet.partition(to, v.self)},
	}
}

// proxyFor returns the address of the proxy to a target. The caller must hold the fleet's mutex.
func (v *View) proxyFor(target string) (string, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if p := v.proxies[target]; p != nil {
		return p.Address(), nil
	}
	p, err := faultproxy.New("127.0.0.1:0", target)
	if err != nil {
		return "", err
	}
	p.Set(v.faultsTo(target))
	v.proxies[target], v.targets[p.Address()] = p, target
	return p.Address(), nil
}

// addressPattern matches the addresses of workers and daemons in the values of rows.
var addressPattern = regexp.MustCompile(`127\.0\.0\.1:[0-9]+`)

// rows returns rows as the daemon reads them.
func (v *View) rows(list []rows.Row) []rows.Row {
	if v == nil {
		return list
	}
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	out := slices.Clone(list)
	for k := range out {
		out[k].Value = v.toDaemon(out[k].Value)
	}
	return out
}

// toDaemon returns a value as the daemon reads it. The caller must hold the fleet's mutex.
func (v *View) toDaemon(value []byte) []byte {
	return addressPattern.ReplaceAllFunc(value, func(address []byte) []byte {
		if _, known := v.fleet.endpoints[string(address)]; !known || string(address) == v.address {
			return address
		}
		if proxy, err := v.proxyFor(string(address)); err == nil {
			return []byte(proxy)
		}
		return address
	})
}

// fromDaemon returns a value that the daemon writes as the store keeps it.
func (v *View) fromDaemon(value []byte) []byte {
	if v == nil {
		return value
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return addressPattern.ReplaceAllFunc(value, func(address []byte) []byte {
		if target, known := v.targets[string(address)]; known {
			return []byte(target)
		}
		return address
	})
}

func (v *View) close() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range v.proxies {
		p.Close()
	}
}
