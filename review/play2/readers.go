//go:build review

package main

import (
	"strings"
	"sync"
	"time"
)

func init() {
	cases["readers"] = entry{func() *site {
		s := oberland()
		s.memoryMB = 32
		return s
	}, readers}
}

const (
	readersPerSecond = 60
	readerPiece      = 16 << 10  // what a slow reader reads at a time
	readerGap        = 50 * msec // between two pieces: 1 MB takes some 3 s
	readValue        = 1_000_000 // bytes
	shortValue       = 60_000
	readerTime       = 10 * 1000 * msec
)

// readers plays clients that ask for one long value each, and read it over seconds.
func readers(w *world) error {
	w.addRouters()
	w.addGroups(2, 3)
	size := shortValue
	if w.trouble {
		size = readValue
	}
	for _, s := range w.servers {
		s.value = strings.Repeat("v", size)
	}
	if err := w.startAll(); err != nil {
		return err
	}
	stop := make(chan struct{})
	var watch, clients sync.WaitGroup
	watch.Go(func() { w.watchMemory(w.routers[0], stop) })
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end) && !w.routers[0].killed; {
		time.Sleep(time.Second / readersPerSecond)
		clients.Go(func() { w.readSlowly(size) })
	}
	clients.Wait()
	close(stop)
	watch.Wait()
	return nil
}

// readSlowly asks for a value and reads it in pieces.
func (w *world) readSlowly(size int) {
	conn, err := dialClient(w.routers[0].address)
	if err != nil {
		return
	}
	defer conn.Close()
	request := &requestRecord{id: randomID(), class: "katalog-lesen", group: 1, d: 2 * time.Second}
	if _, err := conn.Write(queryMessage(request.text(""))); err != nil {
		return
	}
	w.note("a slow reader asks id=%s", request.id)
	conn.SetReadDeadline(time.Now().Add(readerTime))
	buffer := make([]byte, readerPiece)
	for total := 0; total < size; {
		n, err := conn.Read(buffer)
		if total += n; err != nil {
			w.note("the slow reader of %s has read %d bytes: %v", request.id, total, err)
			return
		}
		time.Sleep(readerGap)
	}
	w.note("the slow reader of %s has read all", request.id)
}
