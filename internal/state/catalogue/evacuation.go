package catalogue

// WithEvacuated returns a copy of the snapshot with other evacuated zones. The caller must not change the map
// afterwards.
func (s *Snapshot) WithEvacuated(zones map[string]struct{}) *Snapshot {
	out := *s
	out.evacuated = zones
	return &out
}

// Evacuated reports whether the upstreams of a zone get nothing more.
func (s *Snapshot) Evacuated(zone string) bool {
	_, ok := s.evacuated[zone]
	return ok
}

// EvacuatedZones calls yield for each evacuated zone until it returns false.
func (s *Snapshot) EvacuatedZones(yield func(zone string) bool) {
	for zone := range s.evacuated {
		if !yield(zone) {
			return
		}
	}
}
