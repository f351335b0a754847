package balance

// relieve moves flows off a server that holds more than it may, or that is draining.
func (b *Balancer) relieve(s *Server, mean float64) {
	if excess := b.bounds.ExcessLoad(s); excess > 0 {
		b.moveLoad(s, excess) // guards flows on a server that holds more than all nodes may have there
	}
	if !b.settings.NoDelayReports {
		return
	}
	if s.State != Draining {
		b.moveFlowOverCap(s, unreportedCapFactor*mean*s.Size*b.warmShare(s))
		return
	}
	// Flows leave a draining server before it cuts them off. All nodes together move them as fast as one node would,
	// since the other servers have to take them.
	if b.rng.Intn(max(b.settings.Nodes, 1)) == 0 {
		b.moveFlowOverCap(s, -1)
	}
}

// moveFlowOverCap moves the heaviest flow without which the server still holds more than limit. It guards flows on an
// overloaded server. The flow of a returning client stays, unless the server is draining, or is far over the limit and the
// flow has been there for probeInterval. With a negative limit any flow may move, otherwise none that is lighter than the
// server's mean.
func (b *Balancer) moveFlowOverCap(s *Server, limit float64) {
	var heaviest *Flow
	for _, f := range s.flows {
		rest := s.load - f.load
		mayMove := !f.Returning || s.State == Draining ||
			b.now-f.connectAt > probeInterval && rest > returningCapFactor*limit
		if f.open && !f.moveRequested && mayMove && rest > limit && (heaviest == nil || f.load > heaviest.load) {
			heaviest = f
		}
	}
	if heaviest != nil && (limit < 0 || heaviest.load*float64(len(s.flows)) >= s.load) {
		heaviest.moveRequested = true
		b.writer.Move(heaviest)
	}
}

// moveLoad moves flows off a server until the amount of load is reached: displaced flows first, then those with the most
// load for their benefit.
func (b *Balancer) moveLoad(s *Server, amount float64) {
	b.markDisplaced(s, amount)
	for amount > 0 {
		next := nextToMove(s)
		if next == nil {
			return
		}
		if next.load > amount && !next.displaced && b.rng.Float64()*next.load >= amount {
			// Less than one flow is left to move. It moves by probability, so that many nodes with few flows each do not
			// move too much together.
			return
		}
		next.moveRequested = true
		if next.displaced {
			b.displacedAt = b.now
		}
		amount -= next.load
		b.writer.Move(next)
	}
}

// markDisplaced marks the flows of a server that is not preferred for their group. They are marked only if no displaced
// flow moved recently: after a start, all flows of a node may be displaced, and all would move at once. None is marked if
// all flows have to leave the server.
func (b *Balancer) markDisplaced(s *Server, amount float64) {
	for _, f := range s.flows {
		f.displaced = f.Group != nil && amount < noLimit && b.now-b.displacedAt > displacedMoveInterval
		if f.displaced {
			preferred := b.groupRangeOf(f).preferred // also sets the exponents that hashAffinity uses
			f.displaced = f.Group.hashAffinity(s) < preferred
		}
	}
}

// nextToMove returns the flow that leaves the server first, or nil if no flow can.
func nextToMove(s *Server) *Flow {
	var next *Flow
	for _, f := range s.flows {
		if !f.open || f.moveRequested {
			continue
		}
		if next == nil || f.displaced && !next.displaced ||
			f.displaced == next.displaced && f.load*next.benefit() > next.load*f.benefit() {
			next = f
		}
	}
	return next
}
