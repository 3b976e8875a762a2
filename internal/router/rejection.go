package router

import (
	"fmt"
	"net"
	"net/netip"

	"lotushook/internal/pgwire"
	"lotushook/policy/admission"
	"lotushook/policy/clock"
)

// rejection is why a client is not served: it may come again after wait.
type rejection struct {
	text       string
	retryAfter clock.Nanos // 0: not told
}

// Error implements the error interface.
func (t *rejection) Error() string { return t.text }

// rejectionFor words a verdict.
func (d *acceptor) rejectionFor(addr netip.Addr, v admission.Verdict) *rejection {
	return &rejection{text: "refused: " + rejectionText(addr, v), retryAfter: min(v.RetryAfter, d.maxRetryAfter)}
}

// rejectionMessage is a verdict as a client hears it.
func (d *acceptor) rejectionMessage(addr netip.Addr, v admission.Verdict) []byte {
	t := d.rejectionFor(addr, v)
	return pgwire.AppendError(nil, "FATAL", pgwire.CodeTooManyConnections, t.text, retryAfterField(t.retryAfter))
}

// rejectionText names the limit that was met, as the settings do.
func rejectionText(addr netip.Addr, v admission.Verdict) string {
	a := addr.Unmap()
	switch v.Reason {
	case admission.AddressFull:
		return fmt.Sprintf("address %s holds its %d connections (admission.per_address)", a, v.Limit)
	case admission.AddressRate:
		return fmt.Sprintf("address %s has opened its %d connections of a second (admission.new_per_s)", a, v.Limit)
	case admission.PrefixFull:
		return fmt.Sprintf("the network of %s holds its %d connections (admission.per_prefix)", a, v.Limit)
	case admission.PrefixRate:
		return fmt.Sprintf("the network of %s has opened its %d connections of a second (admission.new_per_s_prefix)", a, v.Limit)
	case admission.TotalRate:
		return fmt.Sprintf("%d connections of a second were opened (admission.new_per_s_total)", v.Limit)
	case admission.AtCapacity:
		return fmt.Sprintf("all %d connections are in use", v.Limit)
	case admission.Reserved:
		return fmt.Sprintf("all connections but the %d reserved are in use (admission.reserve)", v.Limit)
	case admission.Displaced:
		return "closed before the first query to make room for another client"
	case admission.Silent:
		return "no query came in time while connections are short (admission.silence_ms)"
	case admission.OverCap:
		return fmt.Sprintf("a limit for %s was lowered (admission)", a)
	case admission.OutOfDescriptors:
		return "no file descriptor is left"
	}
	return v.Reason.String()
}

// remoteAddress is where a connection comes from; the zero address where it can't be told.
func remoteAddress(conn net.Conn) netip.Addr {
	if tcp, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr()
	}
	return netip.Addr{}
}

// displacedRejection is what one hears that was told to close with half a message read.
func (d *acceptor) displacedRejection(c *client) error {
	return d.rejectionFor(remoteAddress(c.conn), admission.Verdict{Reason: admission.Displaced})
}
