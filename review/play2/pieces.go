package main

import (
	"strings"
	"time"
)

func init() { cases["pieces"] = entry{oberland, pieces} }

const (
	longValue  = 128 << 10 // bytes
	pieceCount = 8
	pieceGap   = 100 * msec // between two pieces: the whole value takes 0.7 s
)

// pieces plays data servers that give long values, and write them in pieces.
func pieces(w *world) error {
	w.addRouters()
	w.addGroups(2, 3)
	for _, s := range w.servers {
		s.value = strings.Repeat("v", longValue)
		if w.trouble {
			s.pieces, s.gap = pieceCount, pieceGap
		}
	}
	if err := w.startAll(); err != nil {
		return err
	}
	newLoad(w, 20, 2, map[string]float64{"katalog-lesen": 1}).run(12 * time.Second)
	cut := map[string]int{}
	for _, send := range w.sends {
		if send.outcome == "cut" {
			cut[send.id]++
		}
	}
	for _, request := range w.requests {
		if cut[request.id] > 0 && request.outcome != "served" {
			w.fault("lost", "%s was answered %s %s after %.0f of %.0f ms, and %d answers that data servers still gave were cut off", request.id,
				request.outcome, request.code, ms(request.endedAt-request.sentAt), ms(request.d), cut[request.id])
		}
	}
	return nil
}

// writeInPieces writes an answer in pieces. It reports false if the router ended the connection before the last one.
func (c *serverConn) writeInPieces(out []byte) bool {
	s := c.server
	if s.pieces == 0 {
		return c.write(out)
	}
	size := (len(out) + s.pieces - 1) / s.pieces
	c.begun.Store(true)
	for len(out) > 0 {
		n := min(size, len(out))
		if !c.write(out[:n]) {
			return false
		}
		if out = out[n:]; len(out) == 0 {
			break
		}
		select {
		case <-c.gone:
			return false
		case <-time.After(s.gap):
		}
	}
	c.begun.Store(false)
	return true
}
