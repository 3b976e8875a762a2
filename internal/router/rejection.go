package router

import (
	"fmt"
	"net"
	"net/netip"

	"lotushook/internal/pgwire"
	"lotushook/policy/admission"
	"lotushook/policy/clock"
)

// rejection is the error that a rejected client receives.
type rejection struct {
	text       string
	retryAfter clock.Nanos // 0: none is sent
}

// Error implements the error interface.
func (rejection *rejection) Error() string { return rejection.text }

// rejectionFor returns the rejection for an admission verdict.
func (acceptor *acceptor) rejectionFor(address netip.Addr, verdict admission.Verdict) *rejection {
	return &rejection{text: "refused: " + rejectionText(address, verdict), retryAfter: min(verdict.RetryAfter, acceptor.maxRetryAfter)}
}

// rejectionMessage returns an admission verdict as an error message of the protocol.
func (acceptor *acceptor) rejectionMessage(address netip.Addr, verdict admission.Verdict) []byte {
	rejected := acceptor.rejectionFor(address, verdict)
	return pgwire.AppendError(nil, "FATAL", pgwire.CodeTooManyConnections, rejected.text, retryAfterField(rejected.retryAfter))
}

// rejectionText describes the limit that was reached, with the name of its setting.
func rejectionText(address netip.Addr, verdict admission.Verdict) string {
	unmapped := address.Unmap()
	switch verdict.Reason {
	case admission.AddressFull:
		return fmt.Sprintf("address %s holds its %d connections (admission.per_address)", unmapped, verdict.Limit)
	case admission.AddressRate:
		return fmt.Sprintf("address %s has opened its %d connections of a second (admission.new_per_s)", unmapped, verdict.Limit)
	case admission.PrefixFull:
		return fmt.Sprintf("the network of %s holds its %d connections (admission.per_prefix)", unmapped, verdict.Limit)
	case admission.PrefixRate:
		return fmt.Sprintf("the network of %s has opened its %d connections of a second (admission.new_per_s_prefix)", unmapped, verdict.Limit)
	case admission.TotalRate:
		return fmt.Sprintf("%d connections of a second were opened (admission.new_per_s_total)", verdict.Limit)
	case admission.AtCapacity:
		return fmt.Sprintf("all %d connections are in use", verdict.Limit)
	case admission.Reserved:
		return fmt.Sprintf("all connections but the %d reserved are in use (admission.reserve)", verdict.Limit)
	case admission.Displaced:
		return "closed before the first query to make room for another client"
	case admission.Silent:
		return "no query came in time while connections are short (admission.silence_ms)"
	case admission.OverCap:
		return fmt.Sprintf("a limit for %s was lowered (admission)", unmapped)
	case admission.OutOfDescriptors:
		return "no file descriptor is left"
	}
	return verdict.Reason.String()
}

// remoteAddress returns the peer address of a connection, the zero address if it is not known.
func remoteAddress(conn net.Conn) netip.Addr {
	if tcp, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr()
	}
	return netip.Addr{}
}

// displacedRejection returns the rejection for an evicted client of which a partial message was read.
func (acceptor *acceptor) displacedRejection(client *client) error {
	return acceptor.rejectionFor(remoteAddress(client.conn), admission.Verdict{Reason: admission.Displaced})
}
