package experiment

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"

	jsoniter "github.com/json-iterator/go"

	"lotushook/internal/emulator"
	"lotushook/internal/router"
)

func sendsName(n int) string { return routerName(n) + "-sends.jsonl" }

// records says whether the routers record their sends, and so the data servers what they did.
func (f *memberCluster) records() bool {
	if f == nil {
		return false
	}
	_, ok := f.members["decisions"].(map[string]any)
	return ok
}

// auditSends reads what all routers recorded of their sends and holds it against what the data servers did.
func (f *memberCluster) auditSends(ran []emulator.Ran) (map[string]float64, error) {
	var all []router.AttemptRecord
	for n := range f.count {
		one, err := readSends(filepath.Join(f.dir, sendsName(n)))
		if err != nil {
			return nil, err
		}
		all = append(all, one...)
	}
	return auditSends(all, ran), nil
}

// readSends reads one router's record. Its last line may be cut: the process was killed.
func readSends(path string) ([]router.AttemptRecord, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var all []router.AttemptRecord
	lines := bufio.NewScanner(file)
	bad := error(nil)
	for n := 1; lines.Scan(); n++ {
		if bad != nil {
			return nil, bad
		}
		var s router.AttemptRecord
		if err := jsoniter.Unmarshal(lines.Bytes(), &s); err != nil {
			bad = fmt.Errorf("%s: line %d: %w", path, n, err)
			continue
		}
		all = append(all, s)
	}
	return all, lines.Err()
}

// auditSends holds sends against what the data servers did. All but sends and restored must be 0:
//
//	unrecorded   a server did what no router recorded as sent to it
//	unlisted     a server did what was sent to it though the list did not name it
//	blind_writes a write rests on a primary that is only told or restored
//	ungrounded   a send rests on nothing, or on something of an origin that there is not
//	lowered      a session's floor fell within one process of a router, which knew better
//	below        a session's read was answered as of before the floor that it was sent with
//	young        something restored is younger than the process that has it
func auditSends(sends []router.AttemptRecord, ran []emulator.Ran) map[string]float64 {
	m := map[string]float64{"sends": float64(len(sends)), "ran": float64(len(ran)), "restored": 0, "unrecorded": 0, "unlisted": 0, "blind_writes": 0, "ungrounded": 0,
		"lowered": 0, "below": 0, "young": 0}
	type at struct{ id, server string }
	type whose struct {
		router, session string
		boot            uint64
		group           int64
	}
	sent, floors := map[at]*router.AttemptRecord{}, map[whose]int64{}
	for i := range sends {
		s := &sends[i]
		sent[at{s.ID, s.Server}] = s
		grounded := false
		for _, g := range s.Used {
			grounded = grounded || g.Subject == "server" && g.Origin == "own" && g.Value == s.Server
			switch g.Origin {
			case "restored":
				m["restored"]++
				if g.AgeMS+1 < s.AtMS {
					m["young"]++
				}
			case "own", "peer", "client":
			default:
				m["ungrounded"]++
			}
			switch {
			case g.Subject == "primary" && g.Origin != "own" && !g.Proven:
				m["blind_writes"]++
			case g.Subject == "floor" && g.Origin != "client":
				w := whose{s.Router, s.Session, s.Epoch, s.Group}
				if floors[w] = max(floors[w], s.MinPosition); s.MinPosition < floors[w] {
					m["lowered"]++
				}
			}
		}
		if !grounded {
			m["ungrounded"]++
		}
	}
	for _, r := range ran {
		s := sent[at{r.ID, r.Server}]
		switch {
		case s == nil:
			m["unrecorded"]++
			continue
		case !s.Listed:
			m["unlisted"]++
		}
		if !r.Missed && !r.Write && s.Session == r.Session && r.Pos < s.MinPosition {
			m["below"]++
		}
	}
	return m
}
