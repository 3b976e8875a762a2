package peer

import "lotushook/policy/crdt"

// Keeper hears what a State holds from now on, with nothing locked; it must not wait for anything. By is who says so: this
// router itself by the zero Origin, or the member that told it, with its boot. An entry may be told again.
type Keeper interface {
	Put(e crdt.Entry, by crdt.Origin)
}

// SetKeeper has a keeper hear of all that is learned and told. It is to be called before the State is used.
func (s *State) SetKeeper(k Keeper) { s.keeper = k }

// Restore joins what this router had before its start. It is as if somebody told it: it is not pushed, its ages go on, and
// whoever has heard better keeps that. It returns how many entries are held now that were not.
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

// boot is a member's as it was seen last; 0: it was not.
func (p *Peers) boot(name string) uint64 {
	for _, m := range p.View().Members {
		if m.Name == name {
			return m.Epoch
		}
	}
	return 0
}
