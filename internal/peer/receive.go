package peer

import "lotushook/policy/membership"

// take processes one message, if it is addressed to this process and was not received before.
func (p *Peers) take(e *envelope) {
	now := p.opt.Now()
	switch {
	case e.Cluster != p.opt.Cluster:
		p.counts.foreign.Add(1)
		return
	case e.Session == p.session: // an echo
		p.counts.replayed.Add(1)
		return
	case e.To != p.session:
		p.counts.outdated.Add(1)
		p.post(e.Address, e.Session, nil, nil)
		return
	}
	w := p.windows[e.Session]
	if w == nil {
		if len(p.windows) >= maxContacts {
			p.forgetWindow()
		}
		w = &window{}
		p.windows[e.Session] = w
	}
	if w.at = now; !w.fresh(e.Count) {
		p.counts.replayed.Add(1)
		return
	}
	p.counts.taken.Add(1)
	if len(p.sessionAt) >= maxContacts {
		clear(p.sessionAt) // each is learned again with its next message
	}
	p.sessionAt[e.Address] = e.Session
	if l, ok := p.pending[e.Address]; ok {
		delete(p.pending, e.Address)
		if now-l.at < pendingFor {
			p.send([]membership.Message{l.msg})
		}
	}
	if e.Body != nil {
		p.send(p.members.Receive(now, e.message()))
	}
	if e.State != nil {
		p.takeState(now, e)
	}
}

// forgetWindow makes room: the session that was silent for longest is dropped. Its recorded messages could then be accepted once
// more; that this takes as many starts as there are windows, within one life of this process, is accepted.
func (p *Peers) forgetWindow() {
	var oldest uint64
	for id, w := range p.windows {
		if o := p.windows[oldest]; o == nil || w.at < o.at {
			oldest = id
		}
	}
	delete(p.windows, oldest)
}
