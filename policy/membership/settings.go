// Package membership decides who of the routers is there. It takes what a router hears from others and what time it is, and
// says what to send to whom and which view to hold: a failure detector after SWIM (Das, Gupta, Motivala 2002) with the
// corrections of Lifeguard (Dadgar, Phillips, Currey 2017), made to bear pauses and cuts that work in one direction.
// How messages travel, and what follows from a view, is not decided here.
package membership

import (
	"errors"
	"fmt"

	"lotushook/policy/clock"
	"lotushook/policy/quotalease"
)

// State is what is believed of a member.
type State uint8

// The states. Of one incarnation the greater goes before the smaller.
const (
	Alive    State = iota + 1
	Suspect        // did not answer; becomes Dead unless it, or somebody who heard it, says otherwise in time
	Isolated       // it is heard and does not hear, or the other way round: it neither counts nor accuses
	Dead
	Left // it said so itself
)

var stateNames = [...]string{"unknown", "alive", "suspect", "cut off", "dead", "left"}

// String is the state's name in logs.
func (s State) String() string { return stateNames[s] }

// Settings are what one member goes by.
type Settings struct {
	Name       string
	Address    string // where others reach it
	Epoch      uint64 // greater at each start of the same name
	Seeds      []string
	Configured int // routers of the installation: a side that is not more than half of these may be half of a split

	Allowed       []string // of all of them: nobody else is taken, and parts follow who is there. Empty: anybody, and parts are fixed
	IsolatedShare float64  // see part.Settings

	ProbeInterval    clock.Nanos // one member is asked in each
	AckTimeout       clock.Nanos // for a direct answer, before others are asked to try
	IndirectChecks   int         // how many are asked
	MinSuspicion     clock.Nanos // a suspicion that Confirmations others share ends in so long
	MaxSuspicion     clock.Nanos // and one that nobody shares in so long
	Confirmations    int         // accusers beside the first
	MaxTickGap       clock.Nanos // a gap between ticks from which on this process has been stopped
	ForgetAfter      clock.Nanos // dead and departed members are remembered so long
	MaxMembers       int         // the most that are remembered
	MaxUpdates       int         // the most updates in a message
	RetransmitFactor float64     // each update is told so many times the logarithm of the members
	Lifeguard        bool        // Lifeguard's and those against pauses and cuts; without, it is SWIM with suspicion
}

// DefaultSettings are settings for a name on a local network; what is empty must be filled in.
func DefaultSettings(name, address string, boot uint64, configured int) Settings {
	const ms = 1e6
	return Settings{Name: name, Address: address, Epoch: boot, Configured: configured, ProbeInterval: 200 * ms, AckTimeout: 70 * ms, IndirectChecks: 3,
		MinSuspicion: 800 * ms, MaxSuspicion: 2400 * ms, Confirmations: 3, MaxTickGap: 150 * ms, ForgetAfter: 60_000 * ms, MaxMembers: 1000, MaxUpdates: 10, RetransmitFactor: 3,
		Lifeguard: true}
}

// Term is how long the promises last that parts rest on: four times round all members, as in one each is asked twice
// while others are doubted too.
func (s *Settings) Term() clock.Nanos { return 4 * clock.Nanos(s.Configured) * s.ProbeInterval }

func (s *Settings) check() error {
	var errs []error
	want := func(ok bool, field string) {
		if !ok {
			errs = append(errs, fmt.Errorf("member: %s: missing or out of range", field))
		}
	}
	want(s.Name != "" && s.Address != "", "Name, Address")
	want(s.Configured > 0 && (s.Allowed == nil || len(s.Allowed) == s.Configured), "Configured")
	want(s.ProbeInterval > 0 && s.AckTimeout > 0 && s.AckTimeout < s.ProbeInterval, "Period, Wait")
	want(s.MinSuspicion > 0 && s.MaxSuspicion >= s.MinSuspicion, "LeastDoubt, MostDoubt")
	want(min(s.IndirectChecks, s.Confirmations) >= 0 && s.IndirectChecks <= maxIndirectChecks, "Helpers, Confirms")
	want(s.MaxTickGap > 0 && s.ForgetAfter > s.MaxSuspicion, "Pause, Forget")
	want(s.MaxMembers > 0 && s.MaxUpdates > 0 && s.RetransmitFactor > 0, "Members, News, Retell")
	return errors.Join(errs...)
}

// Kind says what a message wants.
type Kind uint8

// The kinds.
const (
	Ping         Kind = iota + 1 // answer me
	IndirectPing                 // ask Target in my place
	Ack                          // Target answers, itself or through another
	Nack                         // Target has not answered me yet
	StateRequest                 // tell me everybody
	StateReply                   // everybody
	NameTaken                    // the name is another's, who is older
)

// Update is one member's state as somebody believes it.
type Update struct {
	Name, Address string
	Epoch         uint64
	Incarnation   uint32
	State         State
	Accuser       string // of an accusation: who made it
}

// Message goes from one member to another.
type Message struct {
	Kind          Kind
	From, Address string // the sender, and where it is reached
	Epoch         uint64
	To            string // an address
	Seq           uint32
	Target        string // Ask, Ack, Nack: a name
	TargetAddress string // Ask

	Isolated bool // the sender hears hardly anybody: what it says of others is worth nothing
	Updates  []Update
	Vote     *quotalease.Vote // of an answer to the receiver's own question: what the sender promises it
}

// Member is what a view says of one.
type Member struct {
	Update
	Since     clock.Nanos // of its state
	HeardAt   clock.Nanos // last directly; 0: never
	RoundTrip clock.Nanos // of its last direct answer; 0: unknown
}

// View is what this router believes.
type View struct {
	Members       []Member    // by name, itself among them
	Present       int         // alive or suspect, itself too: these may have parts
	Majority      bool        // more than half of those configured
	MajoritySince clock.Nanos // of Majority's value
	Isolated      bool        // this router is cut off: it hears hardly anybody, or is not heard
	NameTaken     bool        // another, older process has this name
	Quota         quotalease.Quota
}
