package stoatedge

// LoadEngine is what tests replace to set the load of an entry.
type LoadEngine = loadEngine

// WithLoads returns the configuration with another source and receiver of loads.
func (c Config) WithLoads(x LoadEngine) Config {
	c.loads = x
	return c
}
