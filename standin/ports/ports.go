// Package ports reserves ports on loopback for the daemons of a soak or a test, which open them only later.
//
//	first, reservation, err := ports.Reserve() // first to first+3
//	defer reservation.Close()
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// PerDaemon is the number of ports of a daemon: for callers, health checks, other daemons and metrics.
const PerDaemon = 4

// Ports are chosen below those that the system gives to outgoing connections.
const (
	firstPort = 10000
	lastPort  = 32000
	// block is the number of ports of a daemon with that of the reservation.
	block = PerDaemon + 1
	// maxAttempts bounds the attempts to reserve ports.
	maxAttempts = 1000
)

// Reserve returns the first of PerDaemon consecutive ports that are free now, and a reservation: a listener on the port after them. Until it is
// closed, Reserve gives these ports to nobody else on this machine, whether they have been opened yet or are closed during a restart.
func Reserve() (int, net.Listener, error) {
	var err error
	for range maxAttempts {
		first := firstPort + rand.IntN((lastPort-firstPort)/block)*block
		reservation, failed := listenLocally(first + PerDaemon)
		if failed == nil {
			if failed = checkPorts(first); failed == nil {
				return first, reservation, nil
			}
			_ = reservation.Close()
		}
		err = failed
	}
	return 0, nil, fmt.Errorf("ports: none are free: %w", err)
}

// checkPorts returns an error unless PerDaemon consecutive ports are free now.
func checkPorts(first int) error {
	for k := range PerDaemon {
		l, err := listenLocally(first + k)
		if err != nil {
			return err
		}
		_ = l.Close()
	}
	return nil
}

func listenLocally(port int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
}
