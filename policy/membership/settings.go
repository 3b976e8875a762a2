// Package membership decides which routers are alive. Its inputs are the messages that a router receives and the time;
// its outputs are the messages to send and the current view. It implements the failure detector SWIM (Das, Gupta,
// Motivala 2002) with the corrections of Lifeguard (Dadgar, Phillips, Currey 2017), extended for paused processes and
// one-way partitions. It decides neither how messages are transported nor what follows from a view.
//
// Each router probes one member per interval. If the member does not answer, other members (helpers) probe it on behalf
// of the router, which is called an indirect check. A member without any answer becomes a suspect, and dead when the
// suspicion times out. A member refutes a suspicion about itself by raising its incarnation, a number that it sends
// with its state. Its epoch distinguishes its process from earlier and later ones of the same name. Changes of state
// are updates, which propagate by gossip: each message carries some of them.
package membership

import (
	"errors"
	"fmt"

	"lotushook/policy/clock"
	"lotushook/policy/quotalease"
)

// State is the state of a member as another one sees it.
type State uint8

// The states of a member. Within one incarnation the greater state prevails.
const (
	Alive    State = iota + 1
	Suspect        // did not answer a probe; becomes Dead unless it refutes the suspicion, or is heard from, in time
	Isolated       // reports that its own probes are not answered; neither counts as present nor suspects others
	Dead
	Left // announced that it leaves
)

var stateNames = [...]string{"unknown", "alive", "suspect", "cut off", "dead", "left"}

// String returns the state's name in logs.
func (s State) String() string { return stateNames[s] }

// Settings are the settings of one member.
type Settings struct {
	Name       string
	Address    string   // where other members reach it
	Epoch      uint64   // greater at each start of a process with this name
	Seeds      []string // addresses of members to contact
	Configured int      // routers of the installation; only more than half of them are a majority

	// AllowedNames are the names of all configured routers. Other names are rejected, and quota shares follow the
	// present members. If it is nil, any name is accepted and quota shares are fixed.
	AllowedNames  []string
	IsolatedShare float64 // see quotalease.Settings

	ProbeInterval    clock.Nanos // one member is probed per interval
	AckTimeout       clock.Nanos // for a direct answer, before indirect checks
	IndirectChecks   int         // number of helpers that probe a member that did not answer
	MinSuspicion     clock.Nanos // timeout of a suspicion that Confirmations further members reported
	MaxSuspicion     clock.Nanos // timeout of a suspicion that one member reported
	Confirmations    int         // reporters after the first that reduce the timeout to MinSuspicion
	MaxTickGap       clock.Nanos // a longer gap between calls means that this process was paused
	ForgetAfter      clock.Nanos // how long dead members and those that left are remembered
	MaxMembers       int         // maximum number of members, including this one
	MaxUpdates       int         // maximum number of queued updates in a message
	RetransmitFactor float64     // each update is sent this many times the binary logarithm of the number of members
	Lifeguard        bool        // with the corrections of Lifeguard and those for pauses and partitions
}

// DefaultSettings returns settings for a local network. The caller adds Seeds and, if needed, AllowedNames and
// IsolatedShare.
func DefaultSettings(name, address string, epoch uint64, configured int) Settings {
	const ms = 1e6
	return Settings{Name: name, Address: address, Epoch: epoch, Configured: configured, ProbeInterval: 200 * ms, AckTimeout: 70 * ms, IndirectChecks: 3,
		MinSuspicion: 800 * ms, MaxSuspicion: 2400 * ms, Confirmations: 3, MaxTickGap: 150 * ms, ForgetAfter: 60_000 * ms, MaxMembers: 1000, MaxUpdates: 10, RetransmitFactor: 3,
		Lifeguard: true}
}

// Term returns how long the votes of the quota lease (see package quotalease) are valid: four probe intervals per
// member, in which each member is probed twice even if every second probe goes to a suspect.
func (s *Settings) Term() clock.Nanos { return 4 * clock.Nanos(s.Configured) * s.ProbeInterval }

func (s *Settings) validate() error {
	var errs []error
	require := func(ok bool, field string) {
		if !ok {
			errs = append(errs, fmt.Errorf("member: %s: missing or out of range", field))
		}
	}
	require(s.Name != "" && s.Address != "", "Name, Address")
	require(s.Configured > 0 && (s.AllowedNames == nil || len(s.AllowedNames) == s.Configured), "Configured")
	require(s.ProbeInterval > 0 && s.AckTimeout > 0 && s.AckTimeout < s.ProbeInterval, "Period, Wait")
	require(s.MinSuspicion > 0 && s.MaxSuspicion >= s.MinSuspicion, "LeastDoubt, MostDoubt")
	require(min(s.IndirectChecks, s.Confirmations) >= 0 && s.IndirectChecks <= maxIndirectChecks, "Helpers, Confirms")
	require(s.MaxTickGap > 0 && s.ForgetAfter > s.MaxSuspicion, "Pause, Forget")
	require(s.MaxMembers > 0 && s.MaxUpdates > 0 && s.RetransmitFactor > 0, "Members, News, Retell")
	return errors.Join(errs...)
}

// Kind is the type of a message.
type Kind uint8

// The kinds of messages.
const (
	Ping          Kind = iota + 1 // requests an Ack
	IndirectPing                  // requests that the receiver pings Target
	Ack                           // Target has answered, directly or to a helper
	Nack                          // from a helper: Target has not answered it yet
	StateRequest                  // requests a StateReply
	StateReply                    // the state of all members
	DuplicateName                 // tells the receiver that an older process uses its name
)

// Update is a member's state as another member sees it.
type Update struct {
	Name, Address string
	Epoch         uint64
	Incarnation   uint32
	State         State
	ReportedBy    string // the member that reported the state Suspect or Dead
}

// Message is a message from one member to another.
type Message struct {
	Kind          Kind
	From, Address string // the sender's name and address
	Epoch         uint64
	To            string // the receiver's address
	Seq           uint32
	Target        string // name of the member that is probed, or that an Ack or Nack is about
	TargetAddress string // for IndirectPing

	Isolated bool // the sender is isolated
	Updates  []Update
	Vote     *quotalease.Vote // the sender's vote, in an answer to the receiver's direct probe
}

// Member is one member in a view.
type Member struct {
	Update
	Since       clock.Nanos // when the member's state last changed
	LastHeardAt clock.Nanos // last message from the member itself; 0: none
	RoundTrip   clock.Nanos // time that its last answer to a direct probe needed; 0: unknown
}

// View is the cluster as this router sees it.
type View struct {
	Members       []Member    // ordered by name, including this router
	Present       int         // number of members that are alive or suspect, including this router
	Majority      bool        // more than half of the configured routers are present
	MajoritySince clock.Nanos // when Majority last changed
	Isolated      bool        // this router's probes are not answered: it can't receive, can't send, or both
	DuplicateName bool        // an older process has this router's name
	Quota         quotalease.Quota
}
