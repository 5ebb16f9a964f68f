package strict

import (
	"net/netip"
	"strconv"
)

// addressForm is what an address of a daemon, an upstream or the platform has to look like.
const addressForm = "an IP address and a port from 1 to 65535, such as 127.0.0.1:7101"

// Address checks an address to listen at or to connect to. It returns what stands there and what may stand there, or two
// empty texts when the address is good.
func Address(text string) (found, allowed string) {
	if text == "" {
		return "nothing", addressForm
	}
	parsed, err := netip.ParseAddrPort(text)
	if err != nil || parsed.Port() == 0 {
		return strconv.Quote(text), addressForm
	}
	return "", ""
}
