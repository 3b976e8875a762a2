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

// counted is a connection that says how much was read of it.
type counted struct {
	net.Conn
	read *atomic.Int64
	more chan struct{} // gets one after each read
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	select {
	case c.more <- struct{}{}:
	default:
	}
	return n, err
}

// An answer without a length ends with its connection, but a reset is no end: also where all of it came first and is a
// list in itself, nothing of it is taken, and it is asked for anew at once.
//
//nolint:gocognit,funlen // one history or table of cases, told in order
func TestResetIsNoEnd(t *testing.T) {
	short, long := `{"seq":1,"whole":true,"hosts":[`+one+`]}`, `{"seq":2,"whole":true,"hosts":[`+one+`]}`
	for _, c := range []struct {
		name  string
		sent  int // bytes of the body before the reset
		reset bool
		want  int64 // the version that is taken first
	}{
		{"reset behind the last byte", len(short), true, 2},
		{"reset before the last byte", len(short) - 1, true, 2},
		{"reset before the body", 0, true, 2},
		{"ended", len(short), false, 1},
		{"ended before the last byte", len(short) - 1, false, 2},
	} {
		for _, head := range []string{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"} {
			t.Run(fmt.Sprintf("%s %.8s %d", c.name, head, len(head)), func(t *testing.T) {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer ln.Close()
				var got atomic.Int64
				more := make(chan struct{}, 1)
				var agent sync.WaitGroup
				agent.Go(func() {
					for n := 0; ; n++ {
						conn, err := ln.Accept()
						if err != nil {
							return
						}
						in := bufio.NewReader(conn)
						line, err := in.ReadString('\n')
						for err == nil && line != "\r\n" {
							line, err = in.ReadString('\n')
						}
						if err != nil { // a dial that was given up
							conn.Close()
							n--
							continue
						}
						if n > 0 {
							fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long)
							_, _ = io.Copy(io.Discard, conn) // what follows shows it
							conn.Close()
							continue
						}
						text := head + short[:c.sent]
						_, _ = io.WriteString(conn, text)   // what follows shows it
						for got.Load() < int64(len(text)) { // the reset may not overtake what was sent
							<-more
						}
						if c.reset {
							conn.(*net.TCPConn).SetLinger(0)
						}
						conn.Close()
					}
				})
				w := NewWatcher(ln.Addr().String(), 0, 0)
				w.longSilence, w.shortSilence, w.bodyTimeout = time.Minute, time.Minute, time.Minute // the machine may be slow
				w.dial = func(ctx context.Context, agent string, within time.Duration) (net.Conn, error) {
					conn, err := dial(ctx, agent, within)
					if err != nil {
						return nil, err
					}
					return counted{conn, &got, more}, nil
				}
				ctx, stop := context.WithCancel(context.Background())
				first := int64(0)
				w.Run(ctx, func(l *List) error {
					if first == 0 {
						first = l.Version
					}
					stop()
					return nil
				})
				ln.Close()
				agent.Wait()
				if first != c.want {
					t.Errorf("version %d was taken", first)
				}
			})
		}
	}
}

// What nobody asked for is no answer: an agent that says all twice is asked on a new connection, and the second word, which
// stands there before the watch is sent, is never taken for the watch's answer.
func TestUnaskedAnswer(t *testing.T) {
	answer := func(seq int, whole bool, host string) string {
		list := fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, strings.Replace(one, "s-1", host, 1))
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var agent sync.WaitGroup
	dials := 0
	w := NewWatcher("", 0, 0)
	w.watchTimeout, w.longSilence, w.shortSilence, w.bodyTimeout = time.Minute, time.Minute, time.Minute, time.Minute // the machine may be slow
	w.dial = func(context.Context, string, time.Duration) (net.Conn, error) {
		here, there := net.Pipe()
		dials++
		first := dials == 1
		agent.Go(func() {
			defer there.Close()
			in := bufio.NewReader(there)
			for {
				line, err := in.ReadString('\n')
				for rest := line; err == nil && rest != "\r\n"; {
					rest, err = in.ReadString('\n')
				}
				switch {
				case err != nil:
					return
				case first: // in one write, so that one read has both
					_, _ = io.WriteString(there, answer(1, true, "s-1")+answer(9, false, "unasked")) // what follows shows it
				case strings.Contains(line, "since=1&"):
					_, _ = io.WriteString(there, answer(2, false, "s-2")) // what follows shows it
				default:
					_, _ = io.Copy(io.Discard, there) // what follows shows it
					return
				}
			}
		})
		return here, nil
	}
	var names []string
	w.Run(ctx, func(l *List) error {
		names = append(names, l.Hosts[0].Name)
		if len(names) == 2 {
			stop()
		}
		return nil
	})
	agent.Wait()
	if fmt.Sprint(names) != "[s-1 s-2]" || dials != 2 {
		t.Errorf("taken: %v on %d connections", names, dials)
	}
}

// endlessly is a reader that never ends, and counts.
type endlessly struct{ read int }

func (e *endlessly) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = '0'
	}
	e.read += len(p)
	return len(p), nil
}

// An answer that never ends is left at a bound, whatever its form, and so is a list of ever new hosts.
func TestEndless(t *testing.T) {
	for _, head := range []string{"", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1fffff\r\n"} {
		e := &endlessly{}
		_, _, _, err := readResponse(bufio.NewReader(io.MultiReader(strings.NewReader(head), e)))
		if !errors.Is(err, errHTTP) || e.read > maxBodyBytes+64<<10 {
			t.Errorf("%q: %v after %d bytes", head, err, e.read)
		}
	}
	d := NewDirectory()
	named := 0
	add := func(whole bool, n int) error {
		l := &List{Complete: whole}
		for range n {
			named++
			l.Hosts = append(l.Hosts, Host{Name: fmt.Sprint("h-", named), Address: "127.0.0.1:1", Group: 1, State: "SERVING"})
		}
		_, err := d.Update(l)
		return err
	}
	var crowded tooManyHostsError
	if err := add(true, maxListed+1); !errors.As(err, &crowded) || d.hasListed() {
		t.Errorf("a whole list of too many: %v", err)
	}
	for range 10 {
		if err := add(false, maxListed/4); err != nil && (!errors.As(err, &crowded) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%v", err)
		}
	}
	if len(d.entries) != maxListed || len(d.ids) != maxListed {
		t.Errorf("%d hosts are listed", len(d.entries))
	}
	if err := add(true, 3); err != nil || len(d.entries) > 3+maxRemoved {
		t.Errorf("a list that fits, later: %v, %d hosts remembered", err, len(d.entries))
	}
}
