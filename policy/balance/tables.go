package balance

import "lotushook/policy/timequeue"

// groupTable finds endpoints and groups. It decides nothing.
type groupTable struct {
	endpoints map[EndpointID]*endpoint
	byID      map[int64]*group
	order     []*group // by first sight
	queues    int      // of each group
}

func newGroupTable(queues int) groupTable {
	return groupTable{endpoints: map[EndpointID]*endpoint{}, byID: map[int64]*group{}, queues: queues}
}

// group returns the group of an id, which exists from its first mention on.
func (b *Balancer) group(id int64) *group {
	g := b.groups.byID[id]
	if g == nil {
		g = &group{id: id, queues: make([]timequeue.Queue[*request], b.groups.queues)}
		b.groups.byID[id] = g
		b.groups.order = append(b.groups.order, g)
		b.slowStart.SetGroups(len(b.groups.order))
	}
	return g
}

// requestTable finds the requests that are open, and those that have attempts in flight. It decides nothing.
type requestTable struct {
	byID       map[string]*request
	bySequence map[int64]*request
	sequence   int64
}

func newRequestTable() requestTable {
	return requestTable{byID: map[string]*request{}, bySequence: map[int64]*request{}}
}

// nextSequence numbers requests from 1 in the order of their arrival.
func (t *requestTable) nextSequence() int64 {
	t.sequence++
	return t.sequence
}

func (t *requestTable) add(r *request) {
	t.byID[r.id] = r
	t.bySequence[r.sequence] = r
}

// remove forgets a request that has ended, once none of its attempts is in flight.
func (t *requestTable) remove(r *request) {
	delete(t.bySequence, r.sequence)
	if r.inFlight == 0 {
		delete(t.byID, r.id)
	}
}

func (b *Balancer) classOf(r *request) *Class { return &b.settings.Classes[r.class] }
