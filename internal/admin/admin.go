// Package admin serves reports to operators on the router's own machine, over a Unix socket that only the router's user
// can open. A client sends the name of a report in one line; the server responds with JSON and closes the connection.
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
	maxClients      = 4 // served at a time; one more is accepted and waits
	maxRequestBytes = 64
	readTimeout     = time.Second
	responseTimeout = 5 * time.Second
)

// Handlers has a function for each report name, which returns the report. Calls may be concurrent.
type Handlers map[string]func(context.Context) any

// errorResponse is the response to an unknown report name.
type errorResponse struct {
	Error string `json:"error"`
}

// Serve serves reports on a Unix socket, until stop is called or the context ends. It replaces a socket file on which
// no process listens. stop waits until all clients have been served.
func Serve(ctx context.Context, path string, handlers Handlers) (stop func(), err error) {
	if conn, err := net.Dial("unix", path); err == nil {
		conn.Close()
		return nil, fmt.Errorf("admin: %s: another process listens there", path)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		os.Remove(path)
	}
	listener, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		listener.Close()
		return nil, fmt.Errorf("admin: %w", err)
	}
	cancelHook := context.AfterFunc(ctx, func() { listener.Close() })
	var goroutines sync.WaitGroup
	slots := make(chan struct{}, maxClients)
	goroutines.Go(func() {
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil { // usually no free descriptor: retried later, as reports have the lowest precedence
				time.Sleep(100 * time.Millisecond)
				continue
			}
			slots <- struct{}{}
			goroutines.Go(func() {
				defer func() { <-slots }()
				defer conn.Close()
				conn.SetDeadline(time.Now().Add(readTimeout))
				name, err := bufio.NewReader(io.LimitReader(conn, maxRequestBytes)).ReadString('\n')
				if err != nil {
					return
				}
				conn.SetDeadline(time.Now().Add(responseTimeout))
				raw, err := jsoniter.Marshal(handlers.respond(ctx, strings.TrimSpace(name)))
				if err == nil {
					_, _ = conn.Write(raw)
				}
			})
		}
	})
	return func() {
		cancelHook()
		listener.Close()
		goroutines.Wait()
	}, nil
}

func (h Handlers) respond(ctx context.Context, name string) any {
	if handler := h[name]; handler != nil {
		return handler(ctx)
	}
	var known []string
	for knownName := range h {
		known = append(known, knownName)
	}
	slices.Sort(known)
	return errorResponse{fmt.Sprintf("%q is not told here; there is %s", name, strings.Join(known, ", "))}
}

// Query requests a report by name from the socket at path and decodes it into result.
func Query(path, name string, result any) error {
	conn, err := net.Dial("unix", path)
	if err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(responseTimeout))
	if _, err := io.WriteString(conn, name+"\n"); err != nil {
		return fmt.Errorf("admin: %s: %w", path, err)
	}
	raw, err := io.ReadAll(conn)
	if err != nil {
		return fmt.Errorf("admin: %s: %w", path, err)
	}
	var failed errorResponse
	if jsoniter.Unmarshal(raw, &failed) == nil && failed.Error != "" {
		return fmt.Errorf("admin: %s: %s", path, failed.Error)
	}
	if err := jsoniter.Unmarshal(raw, result); err != nil {
		return fmt.Errorf("admin: %s: %w", path, err)
	}
	return nil
}
