package balance

import "lotushook/policy/timequeue"

// groupTable indexes the known endpoints and groups.
type groupTable struct {
	endpoints      map[EndpointID]*endpoint
	byID           map[int64]*group
	order          []*group // all groups, in the order of their first mention
	queuesPerGroup int
}

func newGroupTable(queuesPerGroup int) groupTable {
	return groupTable{endpoints: map[EndpointID]*endpoint{}, byID: map[int64]*group{}, queuesPerGroup: queuesPerGroup}
}

// group returns the group with an id and creates it at its first mention.
func (lb *Balancer) group(id int64) *group {
	found := lb.groups.byID[id]
	if found == nil {
		found = &group{id: id, queues: make([]timequeue.Queue[*request], lb.groups.queuesPerGroup)}
		lb.groups.byID[id] = found
		lb.groups.order = append(lb.groups.order, found)
		lb.slowStart.SetGroups(len(lb.groups.order))
	}
	return found
}

// requestTable indexes the requests without a final answer, and the ended ones with attempts in flight.
type requestTable struct {
	byID       map[string]*request
	bySequence map[int64]*request // requests without a final answer
	sequence   int64              // number of the last request
}

func newRequestTable() requestTable {
	return requestTable{byID: map[string]*request{}, bySequence: map[int64]*request{}}
}

// nextSequence numbers requests from 1 in the order of their arrival.
func (table *requestTable) nextSequence() int64 {
	table.sequence++
	return table.sequence
}

func (table *requestTable) add(req *request) {
	table.byID[req.id] = req
	table.bySequence[req.sequence] = req
}

// remove deletes an ended request. While attempts are in flight, byID retains it for their outcomes.
func (table *requestTable) remove(req *request) {
	delete(table.bySequence, req.sequence)
	if req.inFlight == 0 {
		delete(table.byID, req.id)
	}
}

func (lb *Balancer) classOf(req *request) *Class { return &lb.settings.Classes[req.class] }
