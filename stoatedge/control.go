package stoatedge

// control lets the keeper decide about one event after the other, and performs its effects.
func (e *Edge) control(k *controller) error {
	for list := e.events.take(); len(list) > 0; list = e.events.take() {
		for _, ev := range list {
			for _, effect := range k.step(clock(), ev) {
				e.do(effect)
			}
		}
	}
	return nil
}
