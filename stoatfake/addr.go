package stoatfake

import (
	"net"
	"net/netip"
	"sync"
)

// maxAddrTries bounds the ports that FreeAddr tries.
const maxAddrTries = 50

// issued holds the addresses that FreeAddr has returned in this process. An address stays free until it is
// used, so the kernel may offer it again before then. A contract with two upstreams at one address would be
// refused.
var issued sync.Map

// FreeAddr returns a loopback address whose port is free for both TCP and UDP, and a different one on each call.
func FreeAddr() (netip.AddrPort, error) {
	last := error(&net.AddrError{Err: "no free address that was not returned before", Addr: "127.0.0.1"})
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

// probeAddr returns an address that the kernel offers for TCP, if its port is free for UDP too.
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
