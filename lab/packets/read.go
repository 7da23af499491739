package packets

import (
	"errors"
	"net"
)

// maxDatagram is over the size of any packet, in bytes.
const maxDatagram = 2048

// readDatagrams passes a copy of each datagram to take, until the socket is
// closed.
func readDatagrams(conn *net.UDPConn, take func(raw []byte)) {
	b := make([]byte, maxDatagram)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			take(append([]byte(nil), b[:n]...))
		}
	}
}
