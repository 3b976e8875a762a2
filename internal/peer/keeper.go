package peer

import "lotushook/policy/crdt"

// Keeper receives the entries that a State holds from now on, without any lock held; it must not block. By is the source: this
// router itself by the zero Origin, or the member that sent the entry, with its boot. An entry may be passed again.
type Keeper interface {
	Put(e crdt.Entry, by crdt.Origin)
}

// SetKeeper sets a keeper that receives all entries. It must be called before the State is used.
func (s *State) SetKeeper(k Keeper) { s.keeper = k }

// Restore merges the entries that this router had before its start. They are merged like a peer's: they are not broadcast, their ages
// go on, and newer entries prevail. It returns how many entries are held now that were not.
func (s *State) Restore(list []crdt.Entry) (taken int) {
	for i := range list {
		if changed, _ := s.take(&list[i]); changed {
			taken++
		}
	}
	return taken
}

// notifyKeeper passes the entries of a message that were merged to the keeper, which persists them.
func (p *Peers) notifyKeeper(e *envelope) {
	st := p.opt.State
	if st.keeper == nil {
		return
	}
	by := crdt.Origin{Name: e.From, Boot: p.boot(e.From)}
	put := func(list []entry) {
		for i := range list {
			one, held := list[i].entry(), false
			st.at(st.index(&one), func(store *crdt.Store, _ int64) { held = store.Holds(one) })
			if held {
				st.keeper.Put(one, by)
			}
		}
	}
	if e.State.Push != nil {
		put(e.State.Push.Entries)
	}
	if e.State.Feed != nil {
		for i := range e.State.Feed.Runs {
			put(e.State.Feed.Runs[i].Entries)
		}
	}
}

// boot is a member's boot as last seen; 0: it was not.
func (p *Peers) boot(name string) uint64 {
	for _, m := range p.View().Members {
		if m.Name == name {
			return m.Epoch
		}
	}
	return 0
}
