package fleet

import (
	"fmt"
	"net"

	"comfreytack/core/model"
)

const (
	// firstPort to lastPort lie below the ports that the kernel gives to outgoing connections.
	firstPort = 10_000
	lastPort  = 30_000
)

// Ports hands out loopback addresses that nobody listens on.
type Ports struct {
	next int
}

// NewPorts returns ports that begin at a place chosen by seed, so that two runs seldom collide.
func NewPorts(seed int) *Ports {
	return &Ports{next: firstPort + seed*97%(lastPort-firstPort)}
}

// Next returns an address that was free when it was tried.
func (p *Ports) Next() model.Address {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", p.next)
		p.next++
		if p.next >= lastPort {
			p.next = firstPort
		}
		listener, err := net.Listen("tcp", address)
		if err == nil {
			_ = listener.Close()
			return model.Address(address)
		}
	}
}
