package packets

import (
	"errors"
	"net"
)

// maxDatagramLen exceeds the length of any packet, in bytes.
const maxDatagramLen = 2048

// readDatagrams passes a copy of each datagram to handle until the socket is
// closed.
func readDatagrams(conn *net.UDPConn, handle func(raw []byte)) {
	b := make([]byte, maxDatagramLen)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			handle(append([]byte(nil), b[:n]...))
		}
	}
}
