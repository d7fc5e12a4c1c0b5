package stoatfake

import (
	"net"
	"net/netip"
	"sync"
)

// maxAddrTries bounds the ports that FreeAddr looks at.
const maxAddrTries = 50

// issued are the addresses that this process got: one that is free stays so until it is used, and the
// kernel may name it again before that. A contract then has two upstreams at one address and is refused.
var issued sync.Map

// FreeAddr returns a loopback address whose port is free for both TCP and UDP, another one each time.
func FreeAddr() (netip.AddrPort, error) {
	last := error(&net.AddrError{Err: "no address is free that was not handed out", Addr: "127.0.0.1"})
	for range maxAddrTries {
		addr, err := probeAddr()
		if err != nil {
			last = err
			continue
		}
		if _, used := issued.LoadOrStore(addr, true); !used {
			return addr, nil
		}
	}
	return netip.AddrPort{}, last
}

func probeAddr() (netip.AddrPort, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer func() { _ = ln.Close() }()
	addr := ln.Addr().(*net.TCPAddr).AddrPort()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return netip.AddrPort{}, err
	}
	return addr, conn.Close()
}
