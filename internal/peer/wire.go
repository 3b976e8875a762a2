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
	version         = 2  // 1 had no cursors and no shedding levels
	macSize         = 16 // of SHA-256's 32: forging one needs 2^128 tries
	header          = 3  // two letters, and the version
	maxUDPBytes     = 1200
	maxTCPBytes     = 256 << 10
	maxNameBytes    = 63
	maxAddressBytes = 63
)

var magic = [2]byte{'l', 'h'}

// Why a message was not accepted.
var (
	errShort   = errors.New("too short, or not of this protocol")
	errVersion = errors.New("of another version")
	errMAC     = errors.New("of no key that is known here")
	errBody    = errors.New("not to be understood")
)

// envelope is a message on the wire. The receiver's session shows that it was written for this very process: nothing that was
// recorded before a start is accepted after it, and the sequence number prevents duplicates.
type envelope struct {
	Cluster string `cbor:"1,keyasint"`
	From    string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"` // where the sender is reached
	Session uint64 `cbor:"4,keyasint"` // drawn at the sender's start
	To      uint64 `cbor:"5,keyasint"` // the receiver's, if it is known
	Count   uint64 `cbor:"6,keyasint"`
	Body    *body  `cbor:"7,keyasint,omitempty"` // neither this nor the next: it announces the sender's session
	State   *state `cbor:"8,keyasint,omitempty"`
}

type body struct {
	Kind          uint8    `cbor:"1,keyasint"`
	Boot          uint64   `cbor:"2,keyasint"`
	Seq           uint32   `cbor:"3,keyasint,omitempty"`
	Target        string   `cbor:"4,keyasint,omitempty"`
	TargetAddress string   `cbor:"5,keyasint,omitempty"`
	Deaf          bool     `cbor:"6,keyasint,omitempty"`
	News          []update `cbor:"7,keyasint,omitempty"`
	Row           *promise `cbor:"8,keyasint,omitempty"`
}

type update struct {
	_             struct{} `cbor:",toarray"`
	Name, Address string
	Boot          uint64
	Incarnation   uint32
	State         uint8
	By            string
}

type promise struct {
	_     struct{} `cbor:",toarray"`
	List  uint64
	Grant bool
	Gone  []byte
}

var (
	enc = must(cbor.CoreDetEncOptions().EncMode())
	dec = must(cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1 << 12, MaxMapPairs: 64, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF, UTF8: cbor.UTF8RejectInvalid}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options are constant
	}
	return v
}

// seal encodes an envelope and signs it with a key.
func seal(e *envelope, key []byte) ([]byte, error) {
	raw, err := enc.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	out := make([]byte, 0, header+macSize+len(raw))
	out = append(out, magic[0], magic[1], version)
	out = append(out, mac(key, raw)...)
	return append(out, raw...), nil
}

// mac covers the version too.
func mac(key, raw []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte{version})
	h.Write(raw)
	return h.Sum(nil)[:macSize]
}

// open decodes and verifies a message with any of the keys. Its result is bounded, and from an owner of a key.
func open(raw []byte, keys [][]byte) (*envelope, error) {
	switch {
	case len(raw) < header+macSize || raw[0] != magic[0] || raw[1] != magic[1]:
		return nil, errShort
	case raw[2] != version:
		return nil, errVersion
	}
	sum, text := raw[header:header+macSize], raw[header+macSize:]
	known := false
	for _, key := range keys {
		known = known || hmac.Equal(sum, mac(key, text))
	}
	if !known {
		return nil, errMAC
	}
	var e envelope
	if err := dec.Unmarshal(text, &e); err != nil || !e.sound() {
		return nil, errBody
	}
	return &e, nil
}

// sound says whether the sizes of all its parts are within bounds.
func (e *envelope) sound() bool {
	if e.From == "" || len(e.From) > maxNameBytes || e.Address == "" || len(e.Address) > maxAddressBytes || len(e.Cluster) > maxNameBytes {
		return false
	}
	b := e.Body
	if e.State != nil && !e.State.sound() {
		return false
	}
	if b == nil {
		return true
	}
	if len(b.Target) > maxNameBytes || len(b.TargetAddress) > maxAddressBytes || b.Row != nil && len(b.Row.Gone) > maxUDPBytes {
		return false
	}
	for i := range b.News {
		if u := &b.News[i]; len(u.Name) > maxNameBytes || len(u.Address) > maxAddressBytes || len(u.By) > maxNameBytes {
			return false
		}
	}
	return true
}

// wrap encodes a membership message.
func wrap(m *membership.Message) *body {
	b := &body{Kind: uint8(m.Kind), Boot: m.Epoch, Seq: m.Seq, Target: m.Target, TargetAddress: m.TargetAddress, Deaf: m.Isolated}
	for _, u := range m.Updates {
		b.News = append(b.News, update{Name: u.Name, Address: u.Address, Boot: u.Epoch, Incarnation: u.Incarnation, State: uint8(u.State), By: u.ReportedBy})
	}
	if m.Vote != nil {
		b.Row = &promise{List: m.Vote.NamesHash, Grant: m.Vote.Granted, Gone: m.Vote.Excluded}
	}
	return b
}

// message decodes a membership message.
func (e *envelope) message() membership.Message {
	b := e.Body
	m := membership.Message{Kind: membership.Kind(b.Kind), From: e.From, Address: e.Address, Epoch: b.Boot, Seq: b.Seq, Target: b.Target,
		TargetAddress: b.TargetAddress, Isolated: b.Deaf}
	for _, u := range b.News {
		m.Updates = append(m.Updates, membership.Update{Name: u.Name, Address: u.Address, Epoch: u.Boot, Incarnation: u.Incarnation, State: membership.State(u.State), ReportedBy: u.By})
	}
	if b.Row != nil {
		m.Vote = &quotalease.Vote{NamesHash: b.Row.List, Granted: b.Row.Grant, Excluded: b.Row.Gone}
	}
	return m
}

// window records which sequence numbers of one session were received: the greatest, and which of the 64 up to it.
type window struct {
	top  uint64
	bits uint64
	at   int64 // when the session was last heard
}

// fresh records a sequence number, and says whether it is new.
func (w *window) fresh(count uint64) bool {
	switch {
	case count > w.top:
		if shift := count - w.top; shift < 64 {
			w.bits <<= shift
		} else {
			w.bits = 0
		}
		w.top = count
	case w.top-count >= 64:
		return false
	}
	bit := uint64(1) << (w.top - count)
	if w.bits&bit != 0 {
		return false
	}
	w.bits |= bit
	return true
}
