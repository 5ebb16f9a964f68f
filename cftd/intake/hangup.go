package intake

import (
	"os"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// awaitHangup waits until the peer has closed the connection, without reading from it. It returns false when a read
// deadline has passed first.
func awaitHangup(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Read(func(fd uintptr) bool {
		closed = hasHungUp(fd)
		return closed
	})
	return closed || !errors.Is(err, os.ErrDeadlineExceeded)
}

// hasHungUp reports whether the peer has closed the connection, although bytes may be unread.
func hasHungUp(fd uintptr) bool {
	for {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err := unix.Poll(events, 0)
		if err == unix.EINTR {
			continue
		}
		return err != nil || events[0].Revents != 0
	}
}
