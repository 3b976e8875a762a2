// Package member decides who of the routers is there. It takes what a router hears from others and what time it is, and
// says what to send to whom and which view to hold: a failure detector after SWIM (Das, Gupta, Motivala 2002) with the
// corrections of Lifeguard (Dadgar, Phillips, Currey 2017), made to bear pauses and cuts that work in one direction.
// How messages travel, and what follows from a view, is not decided here.
package membership

import (
	"errors"
	"fmt"

	"lotushook/policy/quotalease"
)

// Nanos is a span or a point of this router's own clock, in nanoseconds. No two routers' points are ever compared.
type Nanos = int64

// State is what is believed of a member.
type State uint8

// The states. Of one incarnation the greater goes before the smaller.
const (
	Alive   State = iota + 1
	Suspect       // did not answer; becomes Dead unless it, or somebody who heard it, says otherwise in time
	CutOff        // it is heard and does not hear, or the other way round: it neither counts nor accuses
	Dead
	Left // it said so itself
)

var states = [...]string{"unknown", "alive", "suspect", "cut off", "dead", "left"}

// String is the state's name in logs.
func (s State) String() string { return states[s] }

// Settings are what one member goes by.
type Settings struct {
	Name       string
	Address    string // where others reach it
	Boot       uint64 // greater at each start of the same name
	Seeds      []string
	Configured int // routers of the installation: a side that is not more than half of these may be half of a split

	Names []string // of all of them: nobody else is taken, and parts follow who is there. Empty: anybody, and parts are fixed
	Alone float64  // see part.Settings

	Period      Nanos   // one member is asked in each
	Wait        Nanos   // for a direct answer, before others are asked to try
	Helpers     int     // how many are asked
	LeastDoubt  Nanos   // a suspicion that Confirms others share ends in so long
	MostDoubt   Nanos   // and one that nobody shares in so long
	Confirms    int     // accusers beside the first
	Pause       Nanos   // a gap between ticks from which on this process has been stopped
	Forget      Nanos   // dead and departed members are remembered so long
	Members     int     // the most that are remembered
	News        int     // the most updates in a message
	Retell      float64 // each update is told so many times the logarithm of the members
	Corrections bool    // Lifeguard's and those against pauses and cuts; without, it is SWIM with suspicion
}

// Usual are settings for a name on a local network; what is empty must be filled in.
func Usual(name, address string, boot uint64, configured int) Settings {
	const ms = 1e6
	return Settings{Name: name, Address: address, Boot: boot, Configured: configured, Period: 200 * ms, Wait: 70 * ms, Helpers: 3,
		LeastDoubt: 800 * ms, MostDoubt: 2400 * ms, Confirms: 3, Pause: 150 * ms, Forget: 60_000 * ms, Members: 1000, News: 10, Retell: 3,
		Corrections: true}
}

// Term is how long the promises last that parts rest on: four times round all members, as in one each is asked twice
// while others are doubted too.
func (s *Settings) Term() Nanos { return 4 * Nanos(s.Configured) * s.Period }

func (s *Settings) check() error {
	var errs []error
	want := func(ok bool, field string) {
		if !ok {
			errs = append(errs, fmt.Errorf("member: %s: missing or out of range", field))
		}
	}
	want(s.Name != "" && s.Address != "", "Name, Address")
	want(s.Configured > 0 && (s.Names == nil || len(s.Names) == s.Configured), "Configured")
	want(s.Period > 0 && s.Wait > 0 && s.Wait < s.Period, "Period, Wait")
	want(s.LeastDoubt > 0 && s.MostDoubt >= s.LeastDoubt, "LeastDoubt, MostDoubt")
	want(min(s.Helpers, s.Confirms) >= 0 && s.Helpers <= mostHelpers, "Helpers, Confirms")
	want(s.Pause > 0 && s.Forget > s.MostDoubt, "Pause, Forget")
	want(s.Members > 0 && s.News > 0 && s.Retell > 0, "Members, News, Retell")
	return errors.Join(errs...)
}

// Kind says what a message wants.
type Kind uint8

// The kinds.
const (
	Ping  Kind = iota + 1 // answer me
	Ask                   // ask Target in my place
	Ack                   // Target answers, itself or through another
	Nack                  // Target has not answered me yet
	Join                  // tell me everybody
	Whole                 // everybody
	Taken                 // the name is another's, who is older
)

// Update is one member's state as somebody believes it.
type Update struct {
	Name, Address string
	Boot          uint64
	Incarnation   uint32
	State         State
	By            string // of an accusation: who made it
}

// Message goes from one member to another.
type Message struct {
	Kind          Kind
	From, Address string // the sender, and where it is reached
	Boot          uint64
	To            string // an address
	Seq           uint32
	Target        string // Ask, Ack, Nack: a name
	TargetAddress string // Ask

	Deaf bool // the sender hears hardly anybody: what it says of others is worth nothing
	News []Update
	Row  *quotalease.Row // of an answer to the receiver's own question: what the sender promises it
}

// Member is what a view says of one.
type Member struct {
	Update
	Since Nanos // of its state
	Heard Nanos // last directly; 0: never
	Trip  Nanos // of its last direct answer; 0: unknown
}

// View is what this router believes.
type View struct {
	Members  []Member // by name, itself among them
	Counting int      // alive or suspect, itself too: these may have parts
	Majority bool     // more than half of those configured
	Since    Nanos    // of Majority's value
	Deaf     bool     // this router is cut off: it hears hardly anybody, or is not heard
	Taken    bool     // another, older process has this name
	Part     quotalease.Force
}
