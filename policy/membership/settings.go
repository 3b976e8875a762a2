// Package membership decides which routers are alive. It takes the messages a router receives and the time, and
// returns the messages to send and the current view: a failure detector after SWIM (Das, Gupta, Motivala 2002) with the
// corrections of Lifeguard (Dadgar, Phillips, Currey 2017), extended for paused processes and one-way partitions.
// How messages travel, and what follows from a view, is not decided here.
package membership

import (
	"errors"
	"fmt"

	"lotushook/policy/clock"
	"lotushook/policy/quotalease"
)

// State is the believed state of a member.
type State uint8

// The states. Within one incarnation the greater one prevails.
const (
	Alive    State = iota + 1
	Suspect        // did not answer; becomes Dead unless it, or a member that heard it, refutes that in time
	Isolated       // heard but not hearing, or the reverse: it neither counts nor accuses
	Dead
	Left // by its own announcement
)

var stateNames = [...]string{"unknown", "alive", "suspect", "cut off", "dead", "left"}

// String is the state's name in logs.
func (s State) String() string { return stateNames[s] }

// Settings are the settings of one member.
type Settings struct {
	Name       string
	Address    string // where others reach it
	Epoch      uint64 // greater at each start of the same name
	Seeds      []string
	Configured int // routers of the installation: a side with no more than half of these may be half of a partition

	AllowedNames  []string // the names of all of them: no other is accepted, and quota shares follow the members present. Empty: any name, and shares are fixed
	IsolatedShare float64  // see quotalease.Settings

	ProbeInterval    clock.Nanos // one member is probed in each
	AckTimeout       clock.Nanos // for a direct answer, before indirect checks
	IndirectChecks   int         // how many members are asked for one
	MinSuspicion     clock.Nanos // a suspicion that Confirmations others share times out after this
	MaxSuspicion     clock.Nanos // and one that none shares after this
	Confirmations    int         // accusers beside the first
	MaxTickGap       clock.Nanos // a gap between ticks that means that this process was paused
	ForgetAfter      clock.Nanos // dead and departed members are remembered so long
	MaxMembers       int         // remembered at most
	MaxUpdates       int         // in a message, at most
	RetransmitFactor float64     // each update is sent so many times the logarithm of the number of members
	Lifeguard        bool        // Lifeguard's corrections and those against pauses and partitions; without, it is SWIM with suspicion
}

// DefaultSettings are settings for a name on a local network; empty fields must be filled in.
func DefaultSettings(name, address string, boot uint64, configured int) Settings {
	const ms = 1e6
	return Settings{Name: name, Address: address, Epoch: boot, Configured: configured, ProbeInterval: 200 * ms, AckTimeout: 70 * ms, IndirectChecks: 3,
		MinSuspicion: 800 * ms, MaxSuspicion: 2400 * ms, Confirmations: 3, MaxTickGap: 150 * ms, ForgetAfter: 60_000 * ms, MaxMembers: 1000, MaxUpdates: 10, RetransmitFactor: 3,
		Lifeguard: true}
}

// Term is how long the votes of the quota lease last: four rounds over all members, as in one each is probed twice
// while others are suspected too.
func (s *Settings) Term() clock.Nanos { return 4 * clock.Nanos(s.Configured) * s.ProbeInterval }

func (s *Settings) check() error {
	var errs []error
	want := func(ok bool, field string) {
		if !ok {
			errs = append(errs, fmt.Errorf("member: %s: missing or out of range", field))
		}
	}
	want(s.Name != "" && s.Address != "", "Name, Address")
	want(s.Configured > 0 && (s.AllowedNames == nil || len(s.AllowedNames) == s.Configured), "Configured")
	want(s.ProbeInterval > 0 && s.AckTimeout > 0 && s.AckTimeout < s.ProbeInterval, "Period, Wait")
	want(s.MinSuspicion > 0 && s.MaxSuspicion >= s.MinSuspicion, "LeastDoubt, MostDoubt")
	want(min(s.IndirectChecks, s.Confirmations) >= 0 && s.IndirectChecks <= maxIndirectChecks, "Helpers, Confirms")
	want(s.MaxTickGap > 0 && s.ForgetAfter > s.MaxSuspicion, "Pause, Forget")
	want(s.MaxMembers > 0 && s.MaxUpdates > 0 && s.RetransmitFactor > 0, "Members, News, Retell")
	return errors.Join(errs...)
}

// Kind is the type of a message.
type Kind uint8

// The kinds.
const (
	Ping         Kind = iota + 1 // requests an Ack
	IndirectPing                 // requests a probe of Target
	Ack                          // Target answers, itself or through another
	Nack                         // Target has not answered yet
	StateRequest                 // requests the full state
	StateReply                   // the full state
	NameTaken                    // the name is used by another, older process
)

// Update is one member's state as another believes it.
type Update struct {
	Name, Address string
	Epoch         uint64
	Incarnation   uint32
	State         State
	Accuser       string // of an accusation: its maker
}

// Message goes from one member to another.
type Message struct {
	Kind          Kind
	From, Address string // the sender, and its address
	Epoch         uint64
	To            string // an address
	Seq           uint32
	Target        string // IndirectPing, Ack, Nack: a name
	TargetAddress string // IndirectPing

	Isolated bool // the sender hears hardly any member: its reports on others are ignored
	Updates  []Update
	Vote     *quotalease.Vote // of an answer to the receiver's own probe: the sender's vote
}

// Member is one member in a view.
type Member struct {
	Update
	Since     clock.Nanos // of its state
	HeardAt   clock.Nanos // last directly; 0: never
	RoundTrip clock.Nanos // of its last direct answer; 0: unknown
}

// View is what this router believes.
type View struct {
	Members       []Member    // by name, this router included
	Present       int         // alive or suspect, this router included: these may have quota shares
	Majority      bool        // more than half of those configured
	MajoritySince clock.Nanos // when Majority last changed
	Isolated      bool        // this router is cut off: it hears hardly any member, or is not heard
	NameTaken     bool        // another, older process has this name
	Quota         quotalease.Quota
}
