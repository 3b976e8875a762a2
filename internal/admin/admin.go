// Package admin lets operators on a router's own machine read what it knows, over a Unix socket that only its user may
// open. A reader writes one word in a line; the answer is JSON, and then the socket is closed.
package admin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"
)

const (
	readers     = 4 // at a time; one more waits
	longest     = 64
	readTimeout = time.Second // a reader says its word in so long
	writeFor    = 5 * time.Second
)

// Answers are by word. They are called from goroutines of their own.
type Answers map[string]func(context.Context) any

// failure is the answer to a word that is none.
type failure struct {
	Error string `json:"error"`
}

// Serve answers whoever connects to a Unix socket. A socket file that nobody listens on is replaced. stop waits for all
// readers, and so does the context's end.
func Serve(ctx context.Context, path string, answers Answers) (stop func(), err error) {
	if conn, err := net.Dial("unix", path); err == nil {
		conn.Close()
		return nil, fmt.Errorf("control: %s: another listens there", path)
	}
	if st, err := os.Lstat(path); err == nil && st.Mode()&os.ModeSocket != 0 {
		os.Remove(path)
	}
	ln, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		ln.Close()
		return nil, fmt.Errorf("control: %w", err)
	}
	unhook := context.AfterFunc(ctx, func() { ln.Close() })
	var all sync.WaitGroup
	slots := make(chan struct{}, readers)
	all.Go(func() {
		for {
			conn, err := ln.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil { // out of descriptors: readers come last
				time.Sleep(100 * time.Millisecond)
				continue
			}
			slots <- struct{}{}
			all.Go(func() {
				defer func() { <-slots }()
				defer conn.Close()
				conn.SetDeadline(time.Now().Add(readTimeout))
				word, err := bufio.NewReader(io.LimitReader(conn, longest)).ReadString('\n')
				if err != nil {
					return
				}
				conn.SetDeadline(time.Now().Add(writeFor))
				raw, err := jsoniter.Marshal(answers.to(ctx, strings.TrimSpace(word)))
				if err == nil {
					_, _ = conn.Write(raw)
				}
			})
		}
	})
	return func() {
		unhook()
		ln.Close()
		all.Wait()
	}, nil
}

func (a Answers) to(ctx context.Context, word string) any {
	if answer := a[word]; answer != nil {
		return answer(ctx)
	}
	var known []string
	for w := range a {
		known = append(known, w)
	}
	slices.Sort(known)
	return failure{fmt.Sprintf("%q is not told here; there is %s", word, strings.Join(known, ", "))}
}

// Query reads the answer to a word at a socket.
func Query(path, word string, to any) error {
	conn, err := net.Dial("unix", path)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(writeFor))
	if _, err := io.WriteString(conn, word+"\n"); err != nil {
		return fmt.Errorf("control: %s: %w", path, err)
	}
	raw, err := io.ReadAll(conn)
	if err != nil {
		return fmt.Errorf("control: %s: %w", path, err)
	}
	var f failure
	if jsoniter.Unmarshal(raw, &f) == nil && f.Error != "" {
		return fmt.Errorf("control: %s: %s", path, f.Error)
	}
	if err := jsoniter.Unmarshal(raw, to); err != nil {
		return fmt.Errorf("control: %s: %w", path, err)
	}
	return nil
}
