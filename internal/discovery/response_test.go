package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// countingConn counts the bytes that were read from a connection.
type countingConn struct {
	net.Conn
	received *atomic.Int64
	progress chan struct{} // signaled after each read
}

func (conn countingConn) Read(data []byte) (int, error) {
	n, err := conn.Conn.Read(data)
	conn.received.Add(int64(n))
	select {
	case conn.progress <- struct{}{}:
	default:
	}
	return n, err
}

// A response without a length extends to the end of its connection, but a connection reset is not such an end: even if
// the bytes before it form a complete list, none of it is applied, and the list is requested again.
//
//nolint:gocognit,funlen // one scenario or table of cases that reads best in one piece
func TestResetIsNoEnd(t *testing.T) {
	short, long := `{"seq":1,"whole":true,"hosts":[`+one+`]}`, `{"seq":2,"whole":true,"hosts":[`+one+`]}`
	for _, tc := range []struct {
		name  string
		sent  int // bytes of the body before the reset
		reset bool
		want  int64 // the version that is applied first
	}{
		{"reset after the last byte", len(short), true, 2},
		{"reset before the last byte", len(short) - 1, true, 2},
		{"reset before the body", 0, true, 2},
		{"ended", len(short), false, 1},
		{"ended before the last byte", len(short) - 1, false, 2},
	} {
		for _, head := range []string{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"} {
			t.Run(fmt.Sprintf("%s %.8s %d", tc.name, head, len(head)), func(t *testing.T) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer listener.Close()
				var received atomic.Int64
				progress := make(chan struct{}, 1)
				var agent sync.WaitGroup
				agent.Go(func() {
					for count := 0; ; count++ {
						conn, err := listener.Accept()
						if err != nil {
							return
						}
						in := bufio.NewReader(conn)
						line, err := in.ReadString('\n')
						for err == nil && line != "\r\n" {
							line, err = in.ReadString('\n')
						}
						if err != nil { // the watcher abandoned the dial
							conn.Close()
							count--
							continue
						}
						if count > 0 {
							fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long)
							_, _ = io.Copy(io.Discard, conn) // until the client closes the connection
							conn.Close()
							continue
						}
						text := head + short[:tc.sent]
						_, _ = io.WriteString(conn, text)        // a failure keeps the loop below from ending
						for received.Load() < int64(len(text)) { // a reset could discard bytes that were not read yet
							<-progress
						}
						if tc.reset {
							conn.(*net.TCPConn).SetLinger(0)
						}
						conn.Close()
					}
				})
				watcher := NewWatcher(listener.Addr().String(), 0, 0)
				// Longer than on any slow machine, so that no timeout fires.
				watcher.longSilence, watcher.shortSilence, watcher.bodyTimeout = time.Minute, time.Minute, time.Minute
				watcher.dial = func(ctx context.Context, agent string, within time.Duration) (net.Conn, error) {
					conn, err := dial(ctx, agent, within)
					if err != nil {
						return nil, err
					}
					return countingConn{conn, &received, progress}, nil
				}
				ctx, stop := context.WithCancel(context.Background())
				firstVersion := int64(0)
				watcher.Run(ctx, func(list *List) error {
					if firstVersion == 0 {
						firstVersion = list.Version
					}
					stop()
					return nil
				})
				listener.Close()
				agent.Wait()
				if firstVersion != tc.want {
					t.Errorf("version %d was applied first", firstVersion)
				}
			})
		}
	}
}

// An agent sends two responses to one request. The second, which arrives before the watch is sent, must not be taken
// for the response to the watch; the watch is sent on a new connection.
func TestUnaskedAnswer(t *testing.T) {
	response := func(version int, complete bool, host string) string {
		list := fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, version, complete, strings.Replace(one, "s-1", host, 1))
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var agent sync.WaitGroup
	dials := 0
	watcher := NewWatcher("", 0, 0)
	// Longer than on any slow machine, so that no timeout fires.
	watcher.watchTimeout, watcher.longSilence, watcher.shortSilence, watcher.bodyTimeout = time.Minute, time.Minute, time.Minute, time.Minute
	watcher.dial = func(context.Context, string, time.Duration) (net.Conn, error) {
		clientEnd, serverEnd := net.Pipe()
		dials++
		isFirst := dials == 1
		agent.Go(func() {
			defer serverEnd.Close()
			reader := bufio.NewReader(serverEnd)
			for {
				request, err := reader.ReadString('\n')
				for rest := request; err == nil && rest != "\r\n"; {
					rest, err = reader.ReadString('\n')
				}
				switch {
				case err != nil:
					return
				case isFirst: // in one write, so that one read returns both
					_, _ = io.WriteString(serverEnd, response(1, true, "s-1")+response(9, false, "unasked"))
				case strings.Contains(request, "since=1&"):
					_, _ = io.WriteString(serverEnd, response(2, false, "s-2"))
				default:
					_, _ = io.Copy(io.Discard, serverEnd)
					return
				}
			}
		})
		return clientEnd, nil
	}
	var applied []string
	watcher.Run(ctx, func(list *List) error {
		applied = append(applied, list.Hosts[0].Name)
		if len(applied) == 2 {
			stop()
		}
		return nil
	})
	agent.Wait()
	if fmt.Sprint(applied) != "[s-1 s-2]" || dials != 2 {
		t.Errorf("applied: %v on %d connections", applied, dials)
	}
}

// endlessReader is a reader that never ends and counts the bytes read from it.
type endlessReader struct{ read int }

func (reader *endlessReader) Read(data []byte) (int, error) {
	for i := range data {
		data[i] = '0'
	}
	reader.read += len(data)
	return len(data), nil
}

// An endless response of any form is abandoned at a limit, and so are lists that keep adding hosts.
func TestEndless(t *testing.T) {
	for _, head := range []string{"", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1fffff\r\n"} {
		endless := &endlessReader{}
		_, _, _, err := readResponse(bufio.NewReader(io.MultiReader(strings.NewReader(head), endless)))
		if !errors.Is(err, errHTTP) || endless.read > maxBodyBytes+64<<10 {
			t.Errorf("%q: %v after %d bytes", head, err, endless.read)
		}
	}
	directory := NewDirectory()
	hosts := 0
	add := func(complete bool, count int) error {
		list := &List{Complete: complete}
		for range count {
			hosts++
			list.Hosts = append(list.Hosts, Host{Name: fmt.Sprint("h-", hosts), Address: "127.0.0.1:1", Group: 1, State: "SERVING"})
		}
		_, err := directory.Update(list)
		return err
	}
	var tooMany tooManyHostsError
	if err := add(true, maxListed+1); !errors.As(err, &tooMany) || directory.hasListed() {
		t.Errorf("a complete list of too many hosts: %v", err)
	}
	for range 10 {
		if err := add(false, maxListed/4); err != nil && (!errors.As(err, &tooMany) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%v", err)
		}
	}
	if len(directory.entries) != maxListed || len(directory.ids) != maxListed {
		t.Errorf("%d hosts are listed", len(directory.entries))
	}
	if err := add(true, 3); err != nil || len(directory.entries) > 3+maxRemoved {
		t.Errorf("a later list within the limit: %v, %d hosts remembered", err, len(directory.entries))
	}
}
