package faultinject

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// openPair adds two processes to a net and returns their sockets and the address of the second one that others must
// use.
func openPair(t *testing.T, network *Net) (from *net.UDPConn, to *net.UDPConn, listener *net.TCPListener, advertised netip.AddrPort) {
	t.Helper()
	open := func(host string) (*net.UDPConn, *net.TCPListener) {
		for {
			udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(host)})
			if err != nil {
				t.Fatal(err)
			}
			tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(udp.LocalAddr().(*net.UDPAddr).AddrPort()))
			if err == nil {
				t.Cleanup(func() { udp.Close(); tcp.Close() })
				return udp, tcp
			}
			udp.Close()
		}
	}
	from, _ = open("127.78.0.1")
	to, listener = open("127.78.0.2")
	t.Cleanup(network.Close)
	for _, udp := range []*net.UDPConn{from, to} {
		_, address, err := network.Add(udp.LocalAddr().(*net.UDPAddr).AddrPort())
		if err != nil {
			t.Fatal(err)
		}
		advertised = address
	}
	return from, to, listener, advertised
}

// sendDatagrams sends datagrams over a link and returns the numbers of those that arrived, in order. A last one, sent
// without faults, marks the end.
func sendDatagrams(t *testing.T, network *Net, from, to *net.UDPConn, advertised netip.AddrPort, faults Link, count int) []byte {
	t.Helper()
	network.Set([]int{0}, []int{1}, faults)
	buffer, received := make([]byte, 100), []byte{}
	for number := range count + 1 {
		if number == count {
			time.Sleep(100 * time.Millisecond) // delayed datagrams arrive before the last one
			network.Set(nil, nil, Link{})
		}
		if _, err := from.WriteToUDPAddrPort([]byte{byte(number)}, advertised); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond) // keeps the datagrams in order
	}
	_ = to.SetReadDeadline(time.Now().Add(20 * time.Second)) // a failure shows in the next read
	for {
		_, _, err := to.ReadFromUDP(buffer)
		if err != nil {
			t.Fatal(err)
		}
		if buffer[0] == byte(count) {
			return received
		}
		received = append(received, buffer[0])
	}
}

func TestDatagrams(t *testing.T) {
	var runs [2][]byte
	for index := range runs { // equal seeds must cause equal faults
		network := New(7)
		from, to, _, advertised := openPair(t, network)
		runs[index] = sendDatagrams(t, network, from, to, advertised, Link{Loss: 0.3}, 100)
		if got := sendDatagrams(t, network, from, to, advertised, Link{Cut: true}, 5); len(got) > 0 {
			t.Errorf("%v passed a cut link", got)
		}
	}
	if diff := cmp.Diff(runs[0], runs[1]); diff != "" || len(runs[0]) < 50 || len(runs[0]) > 90 {
		t.Errorf("%d passed; %s", len(runs[0]), diff)
	}
}

// TestStreams checks that a stream over a stalled link continues completely after the stall, that a reset link breaks
// it, and that a connection from a host that belongs to no process is not forwarded.
func TestStreams(t *testing.T) {
	network := New(1)
	from, _, listener, advertised := openPair(t, network)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }() // until the end of the stream
		}
	}()
	dial := func(host net.IP) net.Conn {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: host}, Timeout: 10 * time.Second}
		conn, err := dialer.Dial("tcp", advertised.String())
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(20 * time.Second))
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	echo := func(conn net.Conn, text string) error {
		if _, err := conn.Write([]byte(text)); err != nil {
			return err
		}
		_, err := io.ReadFull(conn, make([]byte, len(text)))
		return err
	}
	host := from.LocalAddr().(*net.UDPAddr).IP
	conn := dial(host)
	if err := echo(conn, "one"); err != nil {
		t.Fatal(err)
	}
	network.Set([]int{0}, []int{1}, Link{Stall: true})
	time.AfterFunc(200*time.Millisecond, func() { network.Set(nil, nil, Link{}) })
	if err := echo(conn, "two"); err != nil {
		t.Error(err)
	}
	network.Set(nil, nil, Link{Reset: true})
	if err := echo(conn, "three"); err == nil {
		t.Error("the stream passed a link that resets connections")
	}
	network.Set(nil, nil, Link{})
	if err := echo(dial(net.IPv4(127, 78, 0, 9)), "who"); err == nil || network.UnknownSenders() != 1 {
		t.Error("a connection from an unknown host was forwarded")
	}
	if len(network.Events()) != 1+2+2+2 {
		t.Errorf("%d faults recorded", len(network.Events()))
	}
}
