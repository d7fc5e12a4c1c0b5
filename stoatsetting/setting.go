package stoatsetting

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatini"
)

// Settings are the settings of one entry instance.
type Settings struct {
	Instance         stoatpaddle.InstanceID
	DataCentre       stoatpaddle.DataCentreID
	Cluster          stoatpaddle.ClusterID
	TunnelAddr       netip.AddrPort   // listener for packets from the fabric, UDP
	RelayAddr        netip.AddrPort   // listener for packets from other entries, UDP
	PeerAddr         netip.AddrPort   // listener for control messages from other entries, TCP
	AdminAddr        netip.AddrPort   // listener of the administration API, HTTP
	CallAddr         netip.AddrPort   // listener for callers' requests, HTTP
	EgressAddr       netip.AddrPort   // the fabric's address for packets to callers, such as resets, UDP
	PlatformAddr     netip.AddrPort   // the platform's object API, HTTP
	Seeds            []netip.AddrPort // peers to ask when the platform does not answer
	Fabric           FabricKind       // the kind of fabric
	LinkMbps         float64          // bandwidth of the instance's link, Mbit/s; echo fabric only; 0: not known
	ReadyAddr        netip.AddrPort   // listener for the fabric's readiness checks, HTTP; echo fabric only
	MetricsAddr      netip.AddrPort   // listener that serves metrics only, HTTP; echo fabric only; invalid: none
	MaxApplyDelay    time.Duration    // maximum delay until a change is in force; echo fabric only
	MaxLeaveDelay    time.Duration    // maximum delay until a leaving upstream gets no new flows; echo fabric only; 0: as MaxApplyDelay
	MaxEvacuateDelay time.Duration    // maximum delay until an evacuation is in force; echo fabric only; 0: evacuations are not read
	// Regions are the regions of data centres, for routes that allow only some regions; echo fabric only.
	Regions map[stoatpaddle.DataCentreID]stoatpaddle.RegionID
	// SpillRule says by which rule openings go to other data centres; SpillExcluded are data centres that never get
	// openings from here; echo fabric only.
	SpillRule     SpillRule
	SpillExcluded []stoatpaddle.DataCentreID
	MemoryMB      float64       // the machine's memory, MB; echo fabric only; 0: not known
	CPUShare      float64       // the part of a core that the instance has; echo fabric only; 0: not known
	FlowLifetime  time.Duration // maximum lifetime of a flow; echo fabric only
	GracePeriod   time.Duration // how long a lapsed registration has to come back after an outage; echo fabric only
	PeerTimeout   time.Duration // a peer that is silent for this long counts as dead
	LogLevel      string        // minimum level of log lines
	StopDeadline  time.Duration // maximum duration of a planned stop
	SettleTime    time.Duration // how long after a change other entries are queried about unknown flows
}

// FabricKind is the kind of fabric, which decides how an entry finds the upstream of an open flow.
type FabricKind string

// The kinds of fabric.
const (
	// FabricTunnel carries packets only: entries learn a flow's upstream from its owner or from a copy of the
	// owner's records.
	FabricTunnel FabricKind = "tunnel"
	// FabricEcho returns with each packet of a flow what an entry wrote into the flow's previous packet.
	FabricEcho FabricKind = "echo"
)

// SpillRule is the rule by which openings go to other data centres.
type SpillRule string

// The rules.
const (
	SpillByRoom SpillRule = "room"  // as much as other data centres publish that they can take
	SpillByBoth SpillRule = "both"  // the same, and trials before the first room is known
	SpillLocal  SpillRule = "local" // by what this entry sees alone
	SpillNever  SpillRule = "none"
)

// The default and maximum values. testdata/entry.ini documents the defaults.
const (
	defaultCluster      = "main"
	defaultTunnel       = "127.0.0.1:6080"
	defaultRelay        = "127.0.0.1:6081"
	defaultPeer         = "127.0.0.1:6082"
	defaultAdmin        = "127.0.0.1:6083"
	defaultCall         = "127.0.0.1:6084"
	defaultEgress       = "127.0.0.1:6090"
	defaultPlatform     = "127.0.0.1:6100"
	defaultPeerTimeout  = 2 * time.Second
	defaultStop         = 60 * time.Second
	defaultSettle       = 60 * time.Second
	defaultReady        = "127.0.0.1:6085"
	defaultApply        = 3 * time.Second
	defaultFlowLifetime = 60 * time.Second
	defaultGracePeriod  = 2500 * time.Millisecond
	maxShare            = 1024 // cores
	maxLink             = 1e6  // Mbit/s
	maxMemory           = 1e6  // MB
)

// MaxDelay returns the shortest of the maximum delays until a change on the platform is in force.
func (s Settings) MaxDelay() time.Duration {
	shortest := s.MaxApplyDelay
	for _, d := range []time.Duration{s.MaxLeaveDelay, s.MaxEvacuateDelay} {
		if d > 0 {
			shortest = min(shortest, d)
		}
	}
	return shortest
}

// MemoryBytes returns the machine's memory in bytes; 0: not known.
func (s Settings) MemoryBytes() uint64 {
	const megabyte = 1 << 20
	return uint64(s.MemoryMB * megabyte)
}

// Parse parses the settings, or returns *stoatpaddle.FaultsError with all their faults.
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
		Regions:          parseRegions(r.Section("regions")),
		SpillRule:        SpillRule(r.Section("spill").Choice("rule", string(SpillByBoth), string(SpillByRoom), string(SpillLocal), string(SpillNever))),
		SpillExcluded:    parseExcluded(r.Section("spill")),
		CPUShare:         instance.Number("share", 0, 0, maxShare),
		LinkMbps:         instance.Number("link", 0, 0, maxLink),
		MemoryMB:         instance.Number("memory", 0, 0, maxMemory),
		GracePeriod:      r.Section("platform").Duration("return", defaultGracePeriod),
		FlowLifetime:     r.Section("flow").Duration("life", defaultFlowLifetime),
		PlatformAddr:     r.Section("platform").AddrPort("address", defaultPlatform),
		Seeds:            r.Section("peer").AddrPorts("seeds"),
		PeerTimeout:      r.Section("peer").Duration("dead", defaultPeerTimeout),
		LogLevel:         r.Section("log").Choice("level", "info", "debug", "warn", "error"),
		StopDeadline:     r.Section("stop").Duration("deadline", defaultStop),
		SettleTime:       r.Section("flow").Duration("settle", defaultSettle),
	}
	if list := listen.AddrPorts("metrics"); len(list) > 0 {
		s.MetricsAddr = list[0]
	}
	checkDistinct(listen, s)
	if err := r.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// parseRegions returns the region of each data centre.
func parseRegions(sec *stoatini.Section) map[stoatpaddle.DataCentreID]stoatpaddle.RegionID {
	out := map[stoatpaddle.DataCentreID]stoatpaddle.RegionID{}
	for _, centre := range sec.Keys() {
		out[stoatpaddle.DataCentreID(centre)] = stoatpaddle.RegionID(sec.Word(centre, ""))
	}
	return out
}

// parseExcluded returns the data centres that never get openings from here.
func parseExcluded(sec *stoatini.Section) []stoatpaddle.DataCentreID {
	var out []stoatpaddle.DataCentreID
	for _, name := range sec.Words("exclude") {
		out = append(out, stoatpaddle.DataCentreID(name))
	}
	return out
}

// checkDistinct adds a fault for each listener that has the address and transport of another one.
func checkDistinct(sec *stoatini.Section, s Settings) {
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
