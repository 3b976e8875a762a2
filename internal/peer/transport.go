package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"lotushook/policy/membership"
)

// sendMembership sends membership messages. If the session at an address is not known yet, the message is stored, and
// only this process's session is announced to the address. The message is sent once the answer names the session there.
func (peers *Peers) sendMembership(messages []membership.Message) {
	now := peers.options.Now()
	for index := range messages {
		message := &messages[index]
		session, known := peers.sessionByAddress[message.To]
		if !known {
			if len(peers.pending) >= maxPending {
				clear(peers.pending)
			}
			peers.pending[message.To] = pendingMessage{now, *message}
		}
		peers.sendMessage(message.To, session, encodeMembership(message), nil)
	}
}

// sendState sends a state message, if the session at the address is known. Other addresses are contacted by membership
// messages first.
func (peers *Peers) sendState(address string, message *stateMessage) {
	if session, known := peers.sessionByAddress[address]; known {
		peers.sendMessage(address, session, nil, message)
	}
}

// sendMessage sends one message to an address: as a datagram, or over a TCP connection if it is too long for a
// datagram.
func (peers *Peers) sendMessage(address string, session uint64, membershipPart *membershipMessage, statePart *stateMessage) {
	addressPort, err := netip.ParseAddrPort(address)
	if err != nil {
		peers.counts.notSent.Add(1)
		return
	}
	peers.lastSequence++
	sealed, err := seal(&envelope{Cluster: peers.options.Cluster, From: peers.options.Membership.Name,
		Address: peers.options.Membership.Address, Session: peers.session, To: session, Sequence: peers.lastSequence,
		Membership: membershipPart, State: statePart}, (*peers.keys.Load())[0])
	if err != nil || len(sealed) > maxTCPBytes {
		peers.counts.notSent.Add(1)
		return
	}
	peers.counts.sent.Add(1)
	peers.counts.sentBytes.Add(uint64(len(sealed)))
	if len(sealed) <= maxUDPBytes {
		if _, err := peers.udp.WriteToUDPAddrPort(sealed, addressPort); err != nil {
			peers.counts.notSent.Add(1)
		}
		return
	}
	select {
	case peers.senderSlots <- struct{}{}:
		go func() {
			defer func() { <-peers.senderSlots }()
			if peers.sendOverConnection(addressPort, sealed) != nil {
				peers.counts.notSent.Add(1)
			}
		}()
	default:
		peers.counts.notSent.Add(1)
	}
}

// sendOverConnection sends one message, prefixed with its length, over a new TCP connection. Like datagrams, the
// connection uses the listening address as its source.
func (peers *Peers) sendOverConnection(addressPort netip.AddrPort, sealed []byte) error {
	localAddress := peers.udp.LocalAddr().(*net.UDPAddr).AddrPort().Addr()
	dialer := net.Dialer{Timeout: connectionTimeout}
	if !localAddress.IsUnspecified() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(localAddress, 0))
	}
	conn, err := dialer.Dial("tcp", addressPort.String())
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(connectionTimeout))
	_, err = conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(sealed))), sealed...))
	return err
}

// readDatagrams reads datagrams. It reads at most maxDatagramsPerSlot per readSlot and leaves the others in the socket,
// so that a flood of datagrams uses little of the router's CPU time.
func (peers *Peers) readDatagrams(ctx context.Context) {
	buffer := make([]byte, maxUDPBytes+1) // a longer datagram is truncated, and its MAC does not match
	slotStart, datagrams := time.Now(), 0
	for {
		size, _, err := peers.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(readSlot)
			continue
		}
		peers.authenticate(buffer[:size])
		if datagrams++; datagrams >= maxDatagramsPerSlot {
			if remaining := readSlot - time.Since(slotStart); remaining > 0 {
				time.Sleep(remaining)
			}
			slotStart, datagrams = time.Now(), 0
		}
	}
}

// authenticate verifies a received message, and queues it for Run.
func (peers *Peers) authenticate(sealed []byte) {
	message, err := open(sealed, *peers.keys.Load())
	switch {
	case errors.Is(err, errVersion):
		peers.counts.otherVersion.Add(1)
	case errors.Is(err, errMAC):
		peers.counts.unauthenticated.Add(1)
	case err != nil:
		peers.counts.malformed.Add(1)
	default:
		select {
		case peers.received <- message:
		default:
			peers.counts.queueFull.Add(1)
		}
	}
}

// acceptConnections receives long messages, one per TCP connection.
func (peers *Peers) acceptConnections(ctx context.Context) {
	slots := make(chan struct{}, maxReceivers)
	var connections sync.WaitGroup
	defer connections.Wait()
	for {
		conn, err := peers.tcp.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil { // no file descriptor is free: waits, because client connections have priority
			time.Sleep(100 * time.Millisecond)
			continue
		}
		peers.counts.connections.Add(1)
		slots <- struct{}{}
		connections.Go(func() {
			defer func() { <-slots }()
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(connectionTimeout))
			var prefix [4]byte
			if _, err := io.ReadFull(conn, prefix[:]); err != nil {
				peers.counts.malformed.Add(1)
				return
			}
			size := binary.BigEndian.Uint32(prefix[:])
			if size > maxTCPBytes {
				peers.counts.malformed.Add(1)
				return
			}
			// ReadAll allocates memory as bytes arrive, not by the announced length.
			sealed, err := io.ReadAll(io.LimitReader(conn, int64(size)))
			if err != nil || len(sealed) != int(size) {
				peers.counts.malformed.Add(1)
				return
			}
			peers.authenticate(sealed)
		})
	}
}
