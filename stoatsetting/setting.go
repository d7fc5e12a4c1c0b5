package stoatsetting

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatini"
)

// Settings is everything that one entry instance must be told.
type Settings struct {
	Instance         stoatpaddle.InstanceID
	DataCentre       stoatpaddle.DataCentreID
	Cluster          stoatpaddle.ClusterID
	TunnelAddr       netip.AddrPort   // packets from the fabric, UDP
	RelayAddr        netip.AddrPort   // packets from other entries, UDP
	PeerAddr         netip.AddrPort   // control between entries, TCP
	AdminAddr        netip.AddrPort   // administration API, HTTP
	CallAddr         netip.AddrPort   // callers' requests, HTTP
	EgressAddr       netip.AddrPort   // the fabric's way to callers, for resets, UDP
	PlatformAddr     netip.AddrPort   // the platform's object API, HTTP
	Seeds            []netip.AddrPort // peers to ask when the platform does not answer
	Fabric           FabricKind       // what the fabric does for the entries
	LinkMbps         float64          // the bandwidth of its link, Mbit/s; echo fabric only; 0: not known
	ReadyAddr        netip.AddrPort   // the fabric's readiness checks, HTTP; echo fabric only
	MetricsAddr      netip.AddrPort   // metrics alone, HTTP; echo fabric only; invalid: none
	MaxApplyDelay    time.Duration    // how soon a change has to be in force; echo fabric only
	MaxLeaveDelay    time.Duration    // how soon a leaving upstream gets no new flows; echo fabric only; 0: as Apply
	MaxEvacuateDelay time.Duration    // how soon an evacuation has to be in force; echo fabric only; 0: there are none
	// Regions are the regions of data centres, for routes that allow only some; echo fabric only.
	Regions      map[stoatpaddle.DataCentreID]stoatpaddle.RegionID
	MemoryMB     float64       // what its machine has, MB; echo fabric only; 0: not known
	CPUShare     float64       // the part of a core that this instance has; echo fabric only; 0: not known
	FlowLifetime time.Duration // how long a flow lives at most; echo fabric only
	GracePeriod  time.Duration // how long a lapsed registration may take to come back; echo fabric only
	PeerTimeout  time.Duration // of silence, until a peer counts as dead
	LogLevel     string
	StopDeadline time.Duration // a planned stop takes no longer
	SettleTime   time.Duration // how long earlier owners are asked after a change
}

// FabricKind tells how flows keep to their upstream.
type FabricKind string

// The kinds of fabric.
const (
	// FabricTunnel gives nothing back: entries find a flow's upstream by owners and copies.
	FabricTunnel FabricKind = "tunnel"
	// FabricEcho brings back with each packet what an entry wrote into the one before.
	FabricEcho FabricKind = "echo"
)

// The defaults, documented in testdata/entry.ini.
const (
	defaultCluster  = "main"
	defaultTunnel   = "127.0.0.1:6080"
	defaultRelay    = "127.0.0.1:6081"
	defaultPeer     = "127.0.0.1:6082"
	defaultAdmin    = "127.0.0.1:6083"
	defaultCall     = "127.0.0.1:6084"
	defaultEgress   = "127.0.0.1:6090"
	defaultPlatform = "127.0.0.1:6100"
	defaultDead     = 2 * time.Second
	defaultStop     = 60 * time.Second
	defaultSettle   = 60 * time.Second
	defaultReady    = "127.0.0.1:6085"
	defaultApply    = 3 * time.Second
	defaultLife     = 60 * time.Second
	defaultReturn   = 2500 * time.Millisecond
	maxShare        = 1024
	maxLink         = 1e6
	maxMemory       = 1e6
)

// MaxDelay is how soon anything that the platform says has to be in force.
func (s Settings) MaxDelay() time.Duration {
	bound := s.MaxApplyDelay
	for _, d := range []time.Duration{s.MaxLeaveDelay, s.MaxEvacuateDelay} {
		if d > 0 {
			bound = min(bound, d)
		}
	}
	return bound
}

// MemoryBytes is what the instance's machine has, bytes; 0: not known.
func (s Settings) MemoryBytes() uint64 {
	const megabyte = 1 << 20
	return uint64(s.MemoryMB * megabyte)
}

// Parse reads the settings, or returns *stoatpaddle.FaultsError with every fault.
func Parse(file string, data []byte) (Settings, error) {
	r := stoatini.Parse(file, data)
	instance := r.Section("instance")
	listen := r.Section("listen")
	s := Settings{
		Instance:         stoatpaddle.InstanceID(instance.Word("id", "")),
		DataCentre:       stoatpaddle.DataCentreID(instance.Word("centre", "")),
		Cluster:          stoatpaddle.ClusterID(instance.Word("cluster", defaultCluster)),
		TunnelAddr:       listen.AddrPort("tunnel", defaultTunnel),
		RelayAddr:        listen.AddrPort("relay", defaultRelay),
		PeerAddr:         listen.AddrPort("peer", defaultPeer),
		AdminAddr:        listen.AddrPort("admin", defaultAdmin),
		CallAddr:         listen.AddrPort("call", defaultCall),
		EgressAddr:       r.Section("fabric").AddrPort("egress", defaultEgress),
		Fabric:           FabricKind(r.Section("fabric").Choice("kind", string(FabricTunnel), string(FabricEcho))),
		ReadyAddr:        listen.AddrPort("ready", defaultReady),
		MaxApplyDelay:    r.Section("platform").Duration("apply", defaultApply),
		MaxLeaveDelay:    r.Section("platform").Duration("leave", 0),
		MaxEvacuateDelay: r.Section("platform").Duration("evacuate", 0),
		Regions:          regions(r.Section("regions")),
		CPUShare:         instance.Number("share", 0, 0, maxShare),
		LinkMbps:         instance.Number("link", 0, 0, maxLink),
		MemoryMB:         instance.Number("memory", 0, 0, maxMemory),
		GracePeriod:      r.Section("platform").Duration("return", defaultReturn),
		FlowLifetime:     r.Section("flow").Duration("life", defaultLife),
		PlatformAddr:     r.Section("platform").AddrPort("address", defaultPlatform),
		Seeds:            r.Section("peer").AddrPorts("seeds"),
		PeerTimeout:      r.Section("peer").Duration("dead", defaultDead),
		LogLevel:         r.Section("log").Choice("level", "info", "debug", "warn", "error"),
		StopDeadline:     r.Section("stop").Duration("deadline", defaultStop),
		SettleTime:       r.Section("flow").Duration("settle", defaultSettle),
	}
	if list := listen.AddrPorts("metrics"); len(list) > 0 {
		s.MetricsAddr = list[0]
	}
	distinct(listen, s)
	if err := r.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// regions reads the region of each data centre.
func regions(sec *stoatini.Section) map[stoatpaddle.DataCentreID]stoatpaddle.RegionID {
	out := map[stoatpaddle.DataCentreID]stoatpaddle.RegionID{}
	for _, centre := range sec.Keys() {
		out[stoatpaddle.DataCentreID(centre)] = stoatpaddle.RegionID(sec.Word(centre, ""))
	}
	return out
}

// distinct reports listeners that would take each other's address.
func distinct(sec *stoatini.Section, s Settings) {
	type listener struct {
		key  string
		udp  bool
		addr netip.AddrPort
	}
	list := []listener{
		{"tunnel", true, s.TunnelAddr},
		{"relay", true, s.RelayAddr},
		{"peer", false, s.PeerAddr},
		{"admin", false, s.AdminAddr},
		{"call", false, s.CallAddr},
		{"ready", false, s.ReadyAddr},
		{"metrics", false, s.MetricsAddr},
	}
	for i, a := range list {
		for _, b := range list[:i] {
			if a.addr.IsValid() && a.udp == b.udp && a.addr == b.addr {
				sec.AddFault(a.key, a.addr.String(), "an address that "+b.key+" does not have")
			}
		}
	}
}
