package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"lotushook/policy/membership"
	"lotushook/policy/quotalease"
)

const (
	protocolVersion = 2  // version 1 had no cursors and no shedding levels
	macBytes        = 16 // the MAC is truncated from SHA-256's 32 bytes; guessing a valid one takes 2^128 attempts
	headerBytes     = 3  // magic, and the version
	maxUDPBytes     = 1200
	maxTCPBytes     = 256 << 10
	maxNameBytes    = 63
	maxAddressBytes = 63
)

var magic = [2]byte{'l', 'h'}

// Reasons to reject a message.
var (
	errShort   = errors.New("peer: message too short, or of another protocol")
	errVersion = errors.New("peer: message of another protocol version")
	errMAC     = errors.New("peer: message not signed with a known key")
	errBody    = errors.New("peer: message cannot be decoded")
)

// envelope is a message on the wire. To contains the session of the receiving process, so that messages recorded before
// a restart are rejected after it. The sequence number detects duplicates within a session.
type envelope struct {
	Cluster    string             `cbor:"1,keyasint"`
	From       string             `cbor:"2,keyasint"`
	Address    string             `cbor:"3,keyasint"` // where other routers reach the sender
	Session    uint64             `cbor:"4,keyasint"` // random number drawn at the sender's start
	To         uint64             `cbor:"5,keyasint"` // the receiver's session; 0 if the sender does not know it
	Sequence   uint64             `cbor:"6,keyasint"`
	Membership *membershipMessage `cbor:"7,keyasint,omitempty"` // without it and State, a message only announces Session
	State      *stateMessage      `cbor:"8,keyasint,omitempty"`
}

// membershipMessage is the encoded form of a membership.Message.
type membershipMessage struct {
	Kind          uint8        `cbor:"1,keyasint"`
	Epoch         uint64       `cbor:"2,keyasint"`
	Seq           uint32       `cbor:"3,keyasint,omitempty"`
	Target        string       `cbor:"4,keyasint,omitempty"`
	TargetAddress string       `cbor:"5,keyasint,omitempty"`
	Isolated      bool         `cbor:"6,keyasint,omitempty"`
	Updates       []wireUpdate `cbor:"7,keyasint,omitempty"`
	Vote          *wireVote    `cbor:"8,keyasint,omitempty"`
}

// wireUpdate is the encoded form of a membership.Update.
type wireUpdate struct {
	_             struct{} `cbor:",toarray"`
	Name, Address string
	Epoch         uint64
	Incarnation   uint32
	State         uint8
	ReportedBy    string
}

// wireVote is the encoded form of a quotalease.Vote.
type wireVote struct {
	_         struct{} `cbor:",toarray"`
	NamesHash uint64
	Granted   bool
	Excluded  []byte
}

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1 << 12, MaxMapPairs: 64, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF, UTF8: cbor.UTF8RejectInvalid}.DecMode())
)

func must[T any](value T, err error) T {
	if err != nil {
		panic(err) // unreachable: the options are constant
	}
	return value
}

// seal encodes an envelope and signs it with a key.
func seal(message *envelope, key []byte) ([]byte, error) {
	encoded, err := encoder.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	sealed := make([]byte, 0, headerBytes+macBytes+len(encoded))
	sealed = append(sealed, magic[0], magic[1], protocolVersion)
	sealed = append(sealed, computeMAC(key, encoded)...)
	return append(sealed, encoded...), nil
}

// computeMAC returns the MAC of an encoded envelope and of the protocol version.
func computeMAC(key, encoded []byte) []byte {
	hash := hmac.New(sha256.New, key)
	hash.Write([]byte{protocolVersion})
	hash.Write(encoded)
	return hash.Sum(nil)[:macBytes]
}

// open verifies a message with any of the keys, and decodes it. The sizes of the returned envelope are within bounds.
func open(sealed []byte, keys [][]byte) (*envelope, error) {
	switch {
	case len(sealed) < headerBytes+macBytes || sealed[0] != magic[0] || sealed[1] != magic[1]:
		return nil, errShort
	case sealed[2] != protocolVersion:
		return nil, errVersion
	}
	receivedMAC, encoded := sealed[headerBytes:headerBytes+macBytes], sealed[headerBytes+macBytes:]
	authentic := false
	for _, key := range keys {
		authentic = authentic || hmac.Equal(receivedMAC, computeMAC(key, encoded))
	}
	if !authentic {
		return nil, errMAC
	}
	var message envelope
	if err := decoder.Unmarshal(encoded, &message); err != nil || !message.withinBounds() {
		return nil, errBody
	}
	return &message, nil
}

// withinBounds reports whether the sizes of all parts of the envelope are within bounds.
func (message *envelope) withinBounds() bool {
	if message.From == "" || len(message.From) > maxNameBytes || message.Address == "" ||
		len(message.Address) > maxAddressBytes || len(message.Cluster) > maxNameBytes {
		return false
	}
	part := message.Membership
	if message.State != nil && !message.State.withinBounds() {
		return false
	}
	if part == nil {
		return true
	}
	if len(part.Target) > maxNameBytes || len(part.TargetAddress) > maxAddressBytes ||
		part.Vote != nil && len(part.Vote.Excluded) > maxUDPBytes {
		return false
	}
	for index := range part.Updates {
		if update := &part.Updates[index]; len(update.Name) > maxNameBytes || len(update.Address) > maxAddressBytes ||
			len(update.ReportedBy) > maxNameBytes {
			return false
		}
	}
	return true
}

// encodeMembership returns the encoded form of a membership message.
func encodeMembership(message *membership.Message) *membershipMessage {
	encoded := &membershipMessage{Kind: uint8(message.Kind), Epoch: message.Epoch, Seq: message.Seq, Target: message.Target,
		TargetAddress: message.TargetAddress, Isolated: message.Isolated}
	for _, update := range message.Updates {
		encoded.Updates = append(encoded.Updates, wireUpdate{Name: update.Name, Address: update.Address, Epoch: update.Epoch,
			Incarnation: update.Incarnation, State: uint8(update.State), ReportedBy: update.ReportedBy})
	}
	if message.Vote != nil {
		encoded.Vote = &wireVote{NamesHash: message.Vote.NamesHash, Granted: message.Vote.Granted, Excluded: message.Vote.Excluded}
	}
	return encoded
}

// decodeMembership returns the membership message of an envelope that has one.
func (message *envelope) decodeMembership() membership.Message {
	encoded := message.Membership
	decoded := membership.Message{Kind: membership.Kind(encoded.Kind), From: message.From, Address: message.Address,
		Epoch: encoded.Epoch, Seq: encoded.Seq, Target: encoded.Target, TargetAddress: encoded.TargetAddress,
		Isolated: encoded.Isolated}
	for _, update := range encoded.Updates {
		decoded.Updates = append(decoded.Updates, membership.Update{Name: update.Name, Address: update.Address, Epoch: update.Epoch,
			Incarnation: update.Incarnation, State: membership.State(update.State), ReportedBy: update.ReportedBy})
	}
	if encoded.Vote != nil {
		decoded.Vote = &quotalease.Vote{NamesHash: encoded.Vote.NamesHash, Granted: encoded.Vote.Granted, Excluded: encoded.Vote.Excluded}
	}
	return decoded
}

// receiveWindow records which sequence numbers of one session were received: the greatest one, and a bit for each of
// the 64 numbers that end with the greatest.
type receiveWindow struct {
	maxSequence uint64
	seenBits    uint64
	lastHeardAt int64 // when the last message of the session arrived
}

// accept records a sequence number, and reports whether it is new.
func (window *receiveWindow) accept(sequence uint64) bool {
	switch {
	case sequence > window.maxSequence:
		if shift := sequence - window.maxSequence; shift < 64 {
			window.seenBits <<= shift
		} else {
			window.seenBits = 0
		}
		window.maxSequence = sequence
	case window.maxSequence-sequence >= 64:
		return false
	}
	bit := uint64(1) << (window.maxSequence - sequence)
	if window.seenBits&bit != 0 {
		return false
	}
	window.seenBits |= bit
	return true
}
