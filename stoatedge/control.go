package stoatedge

// control passes one event after the other to the controller and performs the effects.
func (e *Edge) control(ctl *controller) error {
	for list := e.events.take(); len(list) > 0; list = e.events.take() {
		for _, ev := range list {
			for _, effect := range ctl.step(clock(), ev) {
				e.perform(effect)
			}
		}
	}
	return nil
}
