package scenario

// FleetLimits returns the limits that all nodes of the fleet keep together: the rate of node.admission per address, and
// those that the script lists. There are none if the cluster is off.
func (s *Script) FleetLimits() (limits []Limit) {
	if !s.Cluster.Enabled {
		return nil
	}
	if admission := s.Node.Admission; admission.Rate > 0 {
		promise := map[bool]string{true: "strict", false: "available"}[s.Cluster.Strict]
		limits = append(limits, Limit{Over: "address", Rate: admission.Rate, Burst: max(admission.Burst, 1), Promise: promise})
	}
	return append(limits, s.Cluster.Limits...)
}
