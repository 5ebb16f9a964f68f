package fleet

import (
	"fmt"
	"net"

	"comfreytack/core/model"
)

const (
	// firstPort to lastPort are below the ephemeral ports that the kernel uses for outgoing connections.
	firstPort = 10_000
	lastPort  = 30_000
)

// Ports allocates loopback addresses on which no process listens.
type Ports struct {
	next int
}

// NewPorts returns ports that start at an offset derived from seed, so that two runs at the same time seldom collide.
func NewPorts(seed int) *Ports {
	return &Ports{next: firstPort + seed*97%(lastPort-firstPort)}
}

// Next returns an address that was free when Next tried to listen on it.
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
