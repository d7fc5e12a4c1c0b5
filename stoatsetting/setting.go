package stoatsetting

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatini"
)

// Settings is everything that one entry instance must be told.
type Settings struct {
	Instance   stoatpaddle.InstanceID
	DataCentre stoatpaddle.DataCentreID
	Cluster    stoatpaddle.ClusterID
	Tunnel     netip.AddrPort   // packets from the fabric, UDP
	Relay      netip.AddrPort   // packets from other entries, UDP
	Peer       netip.AddrPort   // control between entries, TCP
	Admin      netip.AddrPort   // administration API, HTTP
	Call       netip.AddrPort   // callers' requests, HTTP
	Egress     netip.AddrPort   // the fabric's way to callers, for resets, UDP
	Platform   netip.AddrPort   // the platform's object API, HTTP
	Seeds      []netip.AddrPort // peers to ask when the platform does not answer
	Fabric     Fabric           // what the fabric does for the entries
	Link       float64          // the bandwidth of its link, Mbit/s; echo fabric only; 0: not known
	Ready      netip.AddrPort   // the fabric's readiness checks, HTTP; echo fabric only
	Metrics    netip.AddrPort   // metrics alone, HTTP; echo fabric only; invalid: none
	Apply      time.Duration    // how soon a change has to be in force; echo fabric only
	Leave      time.Duration    // how soon a leaving upstream gets no new flows; echo fabric only; 0: as Apply
	Evacuate   time.Duration    // how soon an evacuation has to be in force; echo fabric only; 0: there are none
	// Regions are the regions of data centres, for routes that allow only some; echo fabric only.
	Regions map[stoatpaddle.DataCentreID]stoatpaddle.RegionID
	Memory  float64       // what its machine has, MB; echo fabric only; 0: not known
	Share   float64       // the part of a core that this instance has; echo fabric only; 0: not known
	Life    time.Duration // how long a flow lives at most; echo fabric only
	Return  time.Duration // how long a lapsed registration may take to come back; echo fabric only
	Dead    time.Duration // of silence, until a peer counts as dead
	Level   string
	Stop    time.Duration // a planned stop takes no longer
	Settle  time.Duration // how long earlier owners are asked after a change
}

// Fabric tells how flows keep to their upstream.
type Fabric string

// The kinds of fabric.
const (
	// FabricTunnel gives nothing back: entries find a flow's upstream by owners and copies.
	FabricTunnel Fabric = "tunnel"
	// FabricEcho brings back with each packet what an entry wrote into the one before.
	FabricEcho Fabric = "echo"
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

// Bound is how soon anything that the platform says has to be in force.
func (s Settings) Bound() time.Duration {
	bound := s.Apply
	for _, d := range []time.Duration{s.Leave, s.Evacuate} {
		if d > 0 {
			bound = min(bound, d)
		}
	}
	return bound
}

// MemoryBytes is what the instance's machine has, bytes; 0: not known.
func (s Settings) MemoryBytes() uint64 {
	const megabyte = 1 << 20
	return uint64(s.Memory * megabyte)
}

// Parse reads the settings, or returns *stoatpaddle.FaultsError with every fault.
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

// parseRegions reads the region of each data centre.
func parseRegions(sec *stoatini.Section) map[stoatpaddle.DataCentreID]stoatpaddle.RegionID {
	out := map[stoatpaddle.DataCentreID]stoatpaddle.RegionID{}
	for _, centre := range sec.Keys() {
		out[stoatpaddle.DataCentreID(centre)] = stoatpaddle.RegionID(sec.Word(centre, ""))
	}
	return out
}

// checkDistinct reports listeners that would take each other's address.
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
