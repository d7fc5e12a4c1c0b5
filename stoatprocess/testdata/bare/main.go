package main

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
)

func main() {
	listen, upstream, list := os.Args[1], netip.MustParseAddrPort(os.Args[2]), os.Args[3]
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(listen)))
	if err != nil {
		panic(err)
	}
	res, err := http.Get(list)
	if err != nil {
		panic(err)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		panic(err)
	}
	buf := make([]byte, 2048)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			panic(err)
		}
		if _, err := conn.WriteToUDPAddrPort(buf[:n], upstream); err != nil {
			panic(err)
		}
	}
}
