package router

import (
	"log/slog"
	"net"
	"os"
	"time"
)

// spareDescriptor is an open descriptor that is closed when the process runs out of descriptors, so that one more
// client can be accepted and rejected.
type spareDescriptor struct{ file *os.File }

func (spare *spareDescriptor) open() error {
	if spare.file != nil {
		return nil
	}
	var err error
	spare.file, err = os.Open(os.DevNull)
	return err
}

func (spare *spareDescriptor) release() {
	if spare.file != nil {
		spare.file.Close()
		spare.file = nil
	}
}

// acceptWithoutDescriptor handles an accept that failed because the system had no descriptor, though the budget had
// one. It releases the spare descriptor, accepts a client and, if descriptors are still exhausted, rejects it.
func (acceptor *acceptor) acceptWithoutDescriptor(listener net.Listener) {
	acceptor.shrink()
	acceptor.mu.Lock()
	evictions := acceptor.findEvicted(acceptor.admission.EvictOne(acceptor.router.clock.now()))
	acceptor.mu.Unlock()
	acceptor.evict(evictions)
	acceptor.lingering.closeOldest()
	acceptor.spare.release()
	conn, err := acceptWithoutWaiting(listener)
	reopenErr := acceptor.spare.open()
	switch {
	case err != nil: // the descriptor was used elsewhere, or no client is waiting
		time.Sleep(acceptRetryDelay)
	case reopenErr == nil: // another descriptor has become free
		if !acceptor.router.descriptors.ReserveClient() {
			conn.Close()
			return
		}
		acceptor.admit(conn)
	default:
		acceptor.mu.Lock()
		verdict := acceptor.admission.OutOfDescriptors()
		acceptor.mu.Unlock()
		rejectAndShutdown(conn, acceptor.rejectionMessage(remoteAddress(conn), verdict))
		conn.Close()
		if err := acceptor.spare.open(); err != nil {
			slog.Warn("could not reopen the spare descriptor", "err", err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

// acceptWithoutWaiting accepts a connection that is already waiting.
func acceptWithoutWaiting(listener net.Listener) (net.Conn, error) {
	if listenerWithDeadline, ok := listener.(deadlineSetter); ok {
		_ = listenerWithDeadline.SetDeadline(time.Now().Add(acceptRetryDelay))
		// The error of a closed listener may be ignored, as its next Accept returns it.
		defer func() { _ = listenerWithDeadline.SetDeadline(time.Time{}) }()
	}
	return listener.Accept()
}
