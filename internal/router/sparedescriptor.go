package router

import (
	"log/slog"
	"net"
	"os"
	"time"
)

// spareDescriptor is a descriptor that is held to be given up when there is none left.
type spareDescriptor struct{ file *os.File }

func (s *spareDescriptor) take() error {
	if s.file != nil {
		return nil
	}
	var err error
	s.file, err = os.Open(os.DevNull)
	return err
}

func (s *spareDescriptor) give() {
	if s.file != nil {
		s.file.Close()
		s.file = nil
	}
}

// acceptWithoutDescriptor is what is done when the system has no descriptor left, though the count
// said otherwise: the spare one is given up to take a client, say so, and close.
func (d *acceptor) acceptWithoutDescriptor(ln net.Listener) {
	d.shrink()
	d.mu.Lock()
	out := d.findEvicted(d.admission.EvictOne(d.router.clock.now()))
	d.mu.Unlock()
	d.evict(out)
	d.lingering.closeOldest()
	d.spare.give()
	conn, err := acceptWithoutWaiting(ln)
	again := d.spare.take()
	switch {
	case err != nil: // another took it, or nobody waits any more
		time.Sleep(retryAcceptAfter)
	case again == nil: // there is room after all
		if !d.router.descriptors.ReserveClient() {
			conn.Close()
			return
		}
		d.admit(conn)
	default:
		d.mu.Lock()
		v := d.admission.OutOfDescriptors()
		d.mu.Unlock()
		rejectAndShutdown(conn, d.rejectionMessage(remoteAddress(conn), v))
		conn.Close()
		if err := d.spare.take(); err != nil {
			slog.Warn("no spare descriptor", "err", err)
			time.Sleep(retryAcceptAfter)
		}
	}
}

// acceptWithoutWaiting is Accept that does not wait.
func acceptWithoutWaiting(ln net.Listener) (net.Conn, error) {
	if tcp, ok := ln.(deadlineSetter); ok {
		_ = tcp.SetDeadline(time.Now().Add(retryAcceptAfter))
		defer func() { _ = tcp.SetDeadline(time.Time{}) }() // a closed listener says so at the next accept
	}
	return ln.Accept()
}
