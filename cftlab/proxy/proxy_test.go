package proxy_test

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/cftlab/proxy"
	"comfreytack/core/model"
)

// startEchoServer sends each line that it receives back, until the test ends.
func startEchoServer(t *testing.T) model.Address {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewReader(conn)
				for {
					line, err := lines.ReadString('\n')
					if err != nil {
						_ = conn.Close()
						return
					}
					_, _ = conn.Write([]byte(line))
				}
			}()
		}
	}()
	return model.Address(listener.Addr().String())
}

// echoes sends a line and returns whether it comes back in time. The timeout leaves room for the delay of mode Late.
func echoes(t *testing.T, conn net.Conn) bool {
	_, err := conn.Write([]byte("line\n"))
	if err != nil {
		return false
	}
	qt.Assert(t, conn.SetReadDeadline(time.Now().Add(10*proxy.Delay)), qt.IsNil)
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && line == "line\n"
}

func TestModes(t *testing.T) {
	tests := []struct {
		name string
		mode proxy.Mode
		// during and after say whether a line comes back in the mode and, on the same connection, in Pass after it.
		during, after bool
	}{
		{name: "pass", mode: proxy.Pass, during: true, after: true},
		{name: "late", mode: proxy.Late, during: true, after: true},
		{name: "one way", mode: proxy.OneWay},
		{name: "silent", mode: proxy.Silent},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			link, err := proxy.New("127.0.0.1:0", startEchoServer(t))
			qt.Assert(t, err, qt.IsNil)
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			go link.Serve(ctx)
			conn, err := net.Dial("tcp", string(link.Address()))
			qt.Assert(t, err, qt.IsNil)
			defer conn.Close()
			qt.Assert(t, echoes(t, conn), qt.IsTrue)
			link.SetMode(test.mode)
			qt.Assert(t, echoes(t, conn), qt.Equals, test.during)
			link.SetMode(proxy.Pass)
			qt.Assert(t, echoes(t, conn), qt.Equals, test.after)
			link.Reset()
			qt.Assert(t, echoes(t, conn), qt.IsFalse)
		})
	}
}
