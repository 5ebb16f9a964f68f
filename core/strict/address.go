package strict

import (
	"net/netip"
	"strconv"
)

// addressFormat describes a valid address of a daemon, an upstream or the platform.
const addressFormat = "an IP address and a port from 1 to 65535, such as 127.0.0.1:7101"

// Address checks an address to listen at or to connect to. It returns a Fault's Found and Allowed, or two empty strings
// when the address is valid.
func Address(text string) (found, allowed string) {
	if text == "" {
		return "nothing", addressFormat
	}
	parsed, err := netip.ParseAddrPort(text)
	if err != nil || parsed.Port() == 0 {
		return strconv.Quote(text), addressFormat
	}
	return "", ""
}
