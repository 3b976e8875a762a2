//go:build review

package main

import (
	"fmt"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["shutdown"] = playShutdown }

const (
	holdUp     = 140 * time.Millisecond // a router may be held up for up to 0.15 s
	killAfter  = 3700 * time.Millisecond
	writeWait  = 5000                    // ms: the deadline of class ausleihe
	endOfWork  = 3300 * time.Millisecond // after SIGTERM; later answers are those that the router's end brings
	watched    = 6                       // requests whose answers show that the end has come
	writesEach = 60                      // writes for each cluster while its primary hangs
)

// playShutdown sends SIGTERM to a router whose primaries hang, so that writes are still open when the router ends what
// is left, and holds the router up as it gives the first of these answers.
//
// Three routers are restarted in this way, one after the other, until one has broken the rule. With TROUBLE=hang the
// primaries hang, and no router is held up.
func playShutdown(play *play) ([]string, error) {
	for number := range 3 {
		broken, err := endRouter(play, fmt.Sprintf("n%d", number))
		if len(broken) > 0 || err != nil {
			return broken, err
		}
	}
	return nil, nil
}

func endRouter(play *play, name string) ([]string, error) {
	hang := play.trouble
	hold := play.trouble && os.Getenv("TROUBLE") != "hang"
	play.line("router %s", name)
	servers, discovery, err := startServers(play)
	if err != nil {
		return nil, err
	}
	router, err := startRouter(play.root, play.dir, name, discovery, usualMachine, oberland)
	if err != nil {
		return nil, err
	}
	defer router.stop()
	if err := busySpell(router); err != nil {
		return nil, err
	}
	if hang {
		hangPrimaries(play, servers)
	}
	var terminated atomic.Int64 // when SIGTERM was sent, Unix ns
	var held sync.Once
	holdRouterUp := func() {
		_ = syscall.Kill(router.pid, syscall.SIGSTOP)
		stopped := time.Now()
		time.Sleep(holdUp)
		_ = syscall.Kill(router.pid, syscall.SIGCONT)
		play.lineAt(stopped, "the router is held up, for %v, as it gives the first answers that its end brings", time.Since(stopped).Round(time.Millisecond))
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	counts, broken, forwarded := map[string]int{}, []string{}, 0
	for number := range 3 * writesEach {
		id, cluster := fmt.Sprintf("w%d", number), 1+number%3
		clients.Go(func() {
			c, err := connect(router.address)
			if err != nil {
				play.line("client %s: connect: %v", id, err)
				return
			}
			defer c.conn.Close()
			sent := time.Now()
			if _, err := c.conn.Write(query(writeText(id, cluster))); err != nil {
				play.line("client %s: %v", id, err)
				return
			}
			if hold && number < watched {
				if awaitByte(c.conn) && time.Since(time.Unix(0, terminated.Load())) > endOfWork {
					held.Do(holdRouterUp)
				}
			}
			result := c.readAnswer(sent.Add(8 * time.Second))
			play.lineAt(result.at, "client %s: sent at %.3f ms: %s %s %s", id, float64(sent.Sub(play.began).Microseconds())/1e3, result.outcome, result.code, result.text)
			mu.Lock()
			defer mu.Unlock()
			counts[result.outcome]++
			if result.outcome == "closed" || result.outcome == "silent" {
				if _, ok := servers[3*(cluster-1)].received.Load(id); ok {
					forwarded++
				}
				broken = append(broken, fmt.Sprintf("%s, sent at %.0f ms, got no answer: %s at %.0f ms", id,
					float64(sent.Sub(play.began).Microseconds())/1e3, result.text, float64(result.at.Sub(play.began).Microseconds())/1e3))
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	sigterm := time.Now()
	terminated.Store(sigterm.UnixNano())
	_ = router.cmd.Process.Signal(syscall.SIGTERM)
	play.lineAt(sigterm, "SIGTERM")
	select {
	case <-router.ended:
		play.line("the router has ended, %v after SIGTERM", time.Since(sigterm).Round(time.Millisecond))
	case <-time.After(time.Until(sigterm.Add(killAfter))):
		play.line("SIGKILL, %v after SIGTERM", time.Since(sigterm).Round(time.Millisecond))
		router.kill()
	}
	clients.Wait()
	play.line("answers: %v", counts)
	if len(broken) > 0 {
		return []string{fmt.Sprintf("%d of %d requests that router %s had taken were closed with no answer, %d of them forwarded to a data server; the first: %s",
			len(broken), 3*writesEach, name, forwarded, broken[0])}, nil
	}
	return nil, nil
}

// awaitByte waits, on a thread of its own, until a connection has something to read, and leaves it unread.
func awaitByte(conn net.Conn) bool {
	runtime.LockOSThread()
	file, err := conn.(*net.TCPConn).File() // blocking from here on
	if err != nil {
		return false
	}
	defer file.Close()
	var first [1]byte
	count, _, err := syscall.Recvfrom(int(file.Fd()), first[:], syscall.MSG_PEEK)
	_ = syscall.SetNonblock(int(file.Fd()), true)
	return err == nil && count > 0
}
