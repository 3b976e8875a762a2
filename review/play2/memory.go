//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["memory"] = entry{oberland, func(w *world) error { return memory(w, 40, manyFields()) }}
	cases["values"] = entry{func() *site {
		s := oberland()
		s.memoryMB = 64
		return s
	}, func(w *world) error { return memory(w, 80, "") }}
}

// manyFields is a command that can't be a request: its comment has no id, and very many fields. It is just short enough
// to be read whole.
var manyFields = sync.OnceValue(func() string {
	const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
	var text strings.Builder
	text.WriteString("/* ")
	for i := 0; text.Len() < 1<<20-100; i++ {
		text.WriteByte(letters[i%62])
		text.WriteByte(letters[i/62%62])
		text.WriteByte(letters[i/62/62%62])
		text.WriteString("=1,")
	}
	return text.String() + "c=katalog-lesen,d=2000,cluster=1 */ SELECT body FROM objects WHERE oid = '1'"
})

// memory plays bad clients, beside the usual clients of a calm day. As the platform does, it
// kills a router that has more memory than its configuration allows.
func memory(w *world, badClients int, command string) error {
	w.addRouters()
	w.addGroups(2, 3)
	if err := w.startAll(); err != nil {
		return err
	}
	stop := make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() { w.watchMemory(w.routers[0], stop) })
	if w.trouble {
		time.AfterFunc(3*time.Second, func() {
			w.note("%d bad clients begin", badClients)
			for range badClients {
				others.Go(func() { w.sendLong(command, stop) })
			}
		})
	}
	newLoad(w, 100, 2, map[string]float64{"katalog-lesen": 0.5, "eigene-lesen": 0.3, "ausleihe": 0.2}).run(15 * time.Second)
	close(stop)
	others.Wait()
	return nil
}

// watchMemory kills a router that is over its limit. It counts the process's own memory only, without its files.
func (w *world) watchMemory(r *router, stop chan struct{}) {
	most := 0.0
	for noted := time.Now(); ; {
		select {
		case <-stop:
			w.note("the router had %.1f MB at most, of %d", most, w.site.memoryMB)
			return
		case <-time.After(2 * msec):
		}
		used := r.memory()
		if most = max(most, used); time.Since(noted) > 250*msec {
			noted = time.Now()
			w.note("the router has %.1f MB", used)
		}
		if r.hasExited(0) {
			w.fault("crash", "the router ended: %v", r.exitErr)
			return
		}
		if used > float64(w.site.memoryMB) {
			w.fault("crash", "the router has %.1f MB, and its limit is %d MB: it is killed", used, w.site.memoryMB)
			r.signal(syscall.SIGKILL)
			return
		}
	}
}

// memory returns the process's resident memory in MB, without mapped files.
func (r *router) memory() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.command.Process.Pid))
	if err != nil {
		return 0
	}
	for text := range strings.SplitSeq(string(raw), "\n") {
		var kb float64
		if _, err := fmt.Sscanf(text, "RssAnon: %f kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}

// longCommands is how many commands a client sends at once. Each has a value of 60,000 bytes, which clients may send.
const longCommands = 200

// longWrites returns the commands, which can be read and run.
func (w *world) longWrites() (out []byte) {
	for range longCommands {
		request := &requestRecord{id: randomID(), class: "ausleihe", key: randomID(), group: 1, d: 5 * time.Second}
		text := strings.Replace(request.text("mutate"), "9f03", strings.Repeat("9f", 30_000), 1)
		out = append(out, queryMessage(text)...)
	}
	return out
}

// sendLong sends a command or, without one, commands with long values, reads the answers, and does so again.
func (w *world) sendLong(command string, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := dialClient(w.routers[0].address)
		if err != nil {
			time.Sleep(5 * msec)
			continue
		}
		out, answers := queryMessage(command), 1
		if command == "" {
			out, answers = w.longWrites(), longCommands
		}
		conn.SetDeadline(time.Now().Add(6 * time.Second))
		w.note("a bad client sends %d bytes, %d commands", len(out), answers)
		go func() { _, _ = conn.Write(out) }() // the end of the answers shows a failure, too
		for answers > 0 {
			got, err := readMessage(conn.reader)
			if err != nil {
				w.note("a bad client waits for %d answers: %v", answers, err)
				break
			}
			if got.kind == 'E' || got.kind == 'C' {
				answers--
			}
		}
		conn.Close()
	}
}
