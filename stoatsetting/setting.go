package stoatsetting

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatini"
)

// Settings are the settings of one entry instance.
type Settings struct {
	Instance   stoatpaddle.InstanceID
	DataCentre stoatpaddle.DataCentreID
	Cluster    stoatpaddle.ClusterID
	Tunnel     netip.AddrPort   // listener for packets from the fabric, UDP
	Relay      netip.AddrPort   // listener for packets from other entries, UDP
	Peer       netip.AddrPort   // listener for control messages from other entries, TCP
	Admin      netip.AddrPort   // listener of the administration API, HTTP
	Call       netip.AddrPort   // listener for callers' requests, HTTP
	Egress     netip.AddrPort   // where the fabric takes packets to callers, such as resets, UDP
	Platform   netip.AddrPort   // the platform's object API, HTTP
	Seeds      []netip.AddrPort // peers to ask when the platform does not answer
	Fabric     Fabric           // the kind of fabric
	Link       float64          // bandwidth of the instance's link, Mbit/s; echo fabric only; 0: not known
	Ready      netip.AddrPort   // listener for the fabric's readiness checks, HTTP; echo fabric only
	Metrics    netip.AddrPort   // listener that serves metrics only, HTTP; echo fabric only; invalid: none
	Apply      time.Duration    // maximum delay until a change is in force; echo fabric only
	Leave      time.Duration    // the same for a leaving upstream; echo fabric only; 0: as MaxApplyDelay
	Evacuate   time.Duration    // the same for an evacuation; echo fabric only; 0: evacuations are not read
	// Regions are the regions of data centres, for routes that allow only some regions; echo fabric only.
	Regions map[stoatpaddle.DataCentreID]stoatpaddle.RegionID
	Memory  float64       // the machine's memory, MB; echo fabric only; 0: not known
	Share   float64       // the part of a core that the instance has; echo fabric only; 0: not known
	Life    time.Duration // maximum lifetime of a flow; echo fabric only
	Return  time.Duration // how long a lapsed registration has to come back after an outage; echo fabric only
	Dead    time.Duration // a peer that is silent for this long counts as dead
	Level   string        // minimum level of log lines
	Stop    time.Duration // maximum duration of a planned stop
	Settle  time.Duration // how long after a change other entries are queried about unknown flows
}

// Fabric is the kind of fabric, which decides how an entry finds the upstream of an open flow.
type Fabric string

// The kinds of fabric.
const (
	// FabricTunnel carries packets only: entries find a flow's upstream by its owner and by copies of the owner's
	// records.
	FabricTunnel Fabric = "tunnel"
	// FabricEcho returns with each packet of a flow what an entry wrote into the packet before.
	FabricEcho Fabric = "echo"
)

// The default and maximum values. testdata/entry.ini documents the defaults.
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

// Bound returns the shortest of the maximum delays until a change on the platform is in force.
func (s Settings) Bound() time.Duration {
	bound := s.Apply
	for _, d := range []time.Duration{s.Leave, s.Evacuate} {
		if d > 0 {
			bound = min(bound, d)
		}
	}
	return bound
}

// MemoryBytes returns the machine's memory in bytes; 0: not known.
func (s Settings) MemoryBytes() uint64 {
	const megabyte = 1 << 20
	return uint64(s.Memory * megabyte)
}

// Parse parses the settings, or returns *stoatpaddle.FaultsError with all their faults.
func Parse(file string, data []byte) (Settings, error) {
	r := stoatini.Parse(file, data)
	instance := r.Section("instance")
	listen := r.Section("listen")
	s := Settings{
		Instance:   stoatpaddle.InstanceID(instance.Word("id", "")),
		DataCentre: stoatpaddle.DataCentreID(instance.Word("centre", "")),
		Cluster:    stoatpaddle.ClusterID(instance.Word("cluster", defaultCluster)),
		Tunnel:     listen.AddrPort("tunnel", defaultTunnel),
		Relay:      listen.AddrPort("relay", defaultRelay),
		Peer:       listen.AddrPort("peer", defaultPeer),
		Admin:      listen.AddrPort("admin", defaultAdmin),
		Call:       listen.AddrPort("call", defaultCall),
		Egress:     r.Section("fabric").AddrPort("egress", defaultEgress),
		Fabric:     Fabric(r.Section("fabric").Choice("kind", string(FabricTunnel), string(FabricEcho))),
		Ready:      listen.AddrPort("ready", defaultReady),
		Apply:      r.Section("platform").Duration("apply", defaultApply),
		Leave:      r.Section("platform").Duration("leave", 0),
		Evacuate:   r.Section("platform").Duration("evacuate", 0),
		Regions:    parseRegions(r.Section("regions")),
		Share:      instance.Number("share", 0, 0, maxShare),
		Link:       instance.Number("link", 0, 0, maxLink),
		Memory:     instance.Number("memory", 0, 0, maxMemory),
		Return:     r.Section("platform").Duration("return", defaultReturn),
		Life:       r.Section("flow").Duration("life", defaultLife),
		Platform:   r.Section("platform").AddrPort("address", defaultPlatform),
		Seeds:      r.Section("peer").AddrPorts("seeds"),
		Dead:       r.Section("peer").Duration("dead", defaultDead),
		Level:      r.Section("log").Choice("level", "info", "debug", "warn", "error"),
		Stop:       r.Section("stop").Duration("deadline", defaultStop),
		Settle:     r.Section("flow").Duration("settle", defaultSettle),
	}
	if list := listen.AddrPorts("metrics"); len(list) > 0 {
		s.Metrics = list[0]
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

// checkDistinct adds a fault for each listener that has the address and transport of another one.
func checkDistinct(sec *stoatini.Section, s Settings) {
	type listener struct {
		key  string
		udp  bool
		addr netip.AddrPort
	}
	list := []listener{
		{"tunnel", true, s.Tunnel},
		{"relay", true, s.Relay},
		{"peer", false, s.Peer},
		{"admin", false, s.Admin},
		{"call", false, s.Call},
		{"ready", false, s.Ready},
		{"metrics", false, s.Metrics},
	}
	for i, a := range list {
		for _, b := range list[:i] {
			if a.addr.IsValid() && a.udp == b.udp && a.addr == b.addr {
				sec.Fault(a.key, a.addr.String(), "an address that "+b.key+" does not have")
			}
		}
	}
}
