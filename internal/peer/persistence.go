package peer

import "lotushook/policy/crdt"

// Persister receives each entry that a State adds to its copy. Persist is called without any lock held and must not
// block. The source is the zero Origin for an entry that this router learned by itself, and otherwise the member that
// sent the entry, with that member's epoch. The same entry may be passed more than once.
type Persister interface {
	Persist(entry crdt.Entry, source crdt.Origin)
}

// SetPersister sets the Persister that receives all entries. It must be called before the State is used.
func (state *State) SetPersister(persister Persister) { state.persister = persister }

// Restore merges the entries that this router had persisted before its start. They are merged like entries from a peer:
// they are not broadcast, their ages keep increasing, and newer entries prevail. It returns how many entries it added.
func (state *State) Restore(entries []crdt.Entry) (added int) {
	for i := range entries {
		if changed, _ := state.merge(&entries[i]); changed {
			added++
		}
	}
	return added
}

// persistMerged passes to the Persister those entries of a message that this router's copy now stores.
func (peers *Peers) persistMerged(message *envelope) {
	state := peers.options.State
	if state.persister == nil {
		return
	}
	source := crdt.Origin{Name: message.From, Boot: peers.epochOf(message.From)}
	persist := func(entries []wireEntry) {
		for i := range entries {
			merged, stored := entries[i].decode(), false
			state.withShardAt(state.shardIndex(&merged), func(store *crdt.Store, _ int64) { stored = store.Holds(merged) })
			if stored {
				state.persister.Persist(merged, source)
			}
		}
	}
	if message.State.Batch != nil {
		persist(message.State.Batch.Entries)
	}
	if message.State.Piece != nil {
		for i := range message.State.Piece.Runs {
			persist(message.State.Piece.Runs[i].Entries)
		}
	}
}

// epochOf returns the last seen epoch of a member, or 0 for an unknown member.
func (peers *Peers) epochOf(name string) uint64 {
	for _, member := range peers.View().Members {
		if member.Name == name {
			return member.Epoch
		}
	}
	return 0
}
