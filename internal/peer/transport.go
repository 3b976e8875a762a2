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

func (p *Peers) send(list []membership.Message) {
	now := p.opt.Now()
	for i := range list {
		m := &list[i]
		to, ok := p.sessionAt[m.To]
		if !ok {
			if len(p.pending) >= maxPending {
				clear(p.pending)
			}
			p.pending[m.To] = late{now, *m}
		}
		p.post(m.To, to, wrap(m), nil)
	}
}

// postState sends to a member whose session is known; others are contacted by membership first.
func (p *Peers) postState(address string, s *state) {
	if to, ok := p.sessionAt[address]; ok {
		p.post(address, to, nil, s)
	}
}

// post sends one message to an address: as a datagram, or over a connection where it is too long for one.
func (p *Peers) post(address string, to uint64, b *body, s *state) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		p.counts.notSent.Add(1)
		return
	}
	p.count++
	raw, err := seal(&envelope{Cluster: p.opt.Cluster, From: p.opt.Member.Name, Address: p.opt.Member.Address, Session: p.session, To: to, Count: p.count, Body: b, State: s},
		(*p.keys.Load())[0])
	if err != nil || len(raw) > maxTCPBytes {
		p.counts.notSent.Add(1)
		return
	}
	p.counts.sent.Add(1)
	p.counts.sentBytes.Add(uint64(len(raw)))
	if len(raw) <= maxUDPBytes {
		if _, err := p.udp.WriteToUDPAddrPort(raw, at); err != nil {
			p.counts.notSent.Add(1)
		}
		return
	}
	select {
	case p.senders <- struct{}{}:
		go func() {
			defer func() { <-p.senders }()
			if p.connectAndSend(at, raw) != nil {
				p.counts.notSent.Add(1)
			}
		}()
	default:
		p.counts.notSent.Add(1)
	}
}

// connectAndSend sends one message behind its length. It comes from the address that is listened on, as datagrams do.
func (p *Peers) connectAndSend(at netip.AddrPort, raw []byte) error {
	from := p.udp.LocalAddr().(*net.UDPAddr).AddrPort().Addr()
	d := net.Dialer{Timeout: tcpFor}
	if !from.IsUnspecified() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, 0))
	}
	conn, err := d.Dial("tcp", at.String())
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(tcpFor))
	_, err = conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(raw))), raw...))
	return err
}

// readAll reads datagrams. It reads so many in a slot and leaves others in the socket, so that a flood takes little of
// the router's core.
func (p *Peers) readAll(ctx context.Context) {
	buf := make([]byte, maxUDPBytes+1) // a longer datagram is cut, and its key does not match
	began, looked := time.Now(), 0
	for {
		n, _, err := p.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(slot)
			continue
		}
		p.enter(buf[:n])
		if looked++; looked >= perSlot {
			if left := slot - time.Since(began); left > 0 {
				time.Sleep(left)
			}
			began, looked = time.Now(), 0
		}
	}
}

// enter authenticates a message and queues it.
func (p *Peers) enter(raw []byte) {
	e, err := open(raw, *p.keys.Load())
	switch {
	case errors.Is(err, errVersion):
		p.counts.versions.Add(1)
	case errors.Is(err, errMAC):
		p.counts.strangers.Add(1)
	case err != nil:
		p.counts.garbage.Add(1)
	default:
		select {
		case p.in <- e:
		default:
			p.counts.full.Add(1)
		}
	}
}

// acceptAll receives long messages, one a connection.
func (p *Peers) acceptAll(ctx context.Context) {
	slots := make(chan struct{}, maxReceivers)
	var all sync.WaitGroup
	defer all.Wait()
	for {
		conn, err := p.tcp.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil { // out of descriptors: clients come first
			time.Sleep(100 * time.Millisecond)
			continue
		}
		p.counts.connections.Add(1)
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(tcpFor))
			var size [4]byte
			if _, err := io.ReadFull(conn, size[:]); err != nil {
				p.counts.garbage.Add(1)
				return
			}
			n := binary.BigEndian.Uint32(size[:])
			if n > maxTCPBytes {
				p.counts.garbage.Add(1)
				return
			}
			raw, err := io.ReadAll(io.LimitReader(conn, int64(n))) // grows with the received bytes, not with the announced length
			if err != nil || len(raw) != int(n) {
				p.counts.garbage.Add(1)
				return
			}
			p.enter(raw)
		})
	}
}
