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

func sendsName(router int) string { return routerName(router) + "-sends.jsonl" }

// records reports whether the routers record their sends, so that the data servers must record the requests that they
// process.
func (cluster *memberCluster) records() bool {
	if cluster == nil {
		return false
	}
	_, ok := cluster.members["decisions"].(map[string]any)
	return ok
}

// auditSends reads the sends that the routers recorded and compares them with what the data servers processed.
func (cluster *memberCluster) auditSends(processed []emulator.Run) (map[string]float64, error) {
	var all []router.AttemptRecord
	for router := range cluster.count {
		sends, err := readSends(filepath.Join(cluster.dir, sendsName(router)))
		if err != nil {
			return nil, err
		}
		all = append(all, sends...)
	}
	return auditSends(all, processed), nil
}

// readSends reads the record of one router. The last line may be incomplete because the process may have been killed.
func readSends(path string) ([]router.AttemptRecord, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var all []router.AttemptRecord
	lines := bufio.NewScanner(file)
	lineError := error(nil)
	for number := 1; lines.Scan(); number++ {
		if lineError != nil {
			return nil, lineError
		}
		var send router.AttemptRecord
		if err := jsoniter.Unmarshal(lines.Bytes(), &send); err != nil {
			lineError = fmt.Errorf("%s: line %d: %w", path, number, err)
			continue
		}
		all = append(all, send)
	}
	return all, lines.Err()
}

// auditSends compares sends with the requests that the data servers processed. All metrics except sends, ran and
// restored must be 0:
//
//	unrecorded   a server processed a request that no router recorded as sent to it
//	unlisted     a server processed a request although the endpoint list did not contain the server
//	blind_writes a write went to a primary that the router had neither observed itself nor proven
//	ungrounded   a send has no recorded reason, or one of an unknown origin
//	lowered      the minimum position of a session decreased within one process of a router
//	below        a session's read was answered from before the minimum position that it was sent with
//	young        a restored value is younger than the process that uses it
func auditSends(sends []router.AttemptRecord, processed []emulator.Run) map[string]float64 {
	metrics := map[string]float64{"sends": float64(len(sends)), "ran": float64(len(processed)), "restored": 0, "unrecorded": 0, "unlisted": 0, "blind_writes": 0, "ungrounded": 0,
		"lowered": 0, "below": 0, "young": 0}
	type sendKey struct{ id, server string }
	type sessionKey struct {
		router, session string
		epoch           uint64
		group           int64
	}
	sentTo, floors := map[sendKey]*router.AttemptRecord{}, map[sessionKey]int64{}
	for i := range sends {
		send := &sends[i]
		sentTo[sendKey{send.ID, send.Server}] = send
		hasServerFact := false
		for _, fact := range send.Used {
			hasServerFact = hasServerFact || fact.Subject == "server" && fact.Origin == "own" && fact.Value == send.Server
			switch fact.Origin {
			case "restored":
				metrics["restored"]++
				if fact.AgeMS+1 < send.AtMS {
					metrics["young"]++
				}
			case "own", "peer", "client":
			default:
				metrics["ungrounded"]++
			}
			switch {
			case fact.Subject == "primary" && fact.Origin != "own" && !fact.Proven:
				metrics["blind_writes"]++
			case fact.Subject == "floor" && fact.Origin != "client":
				key := sessionKey{send.Router, send.Session, send.Epoch, send.Group}
				if floors[key] = max(floors[key], send.MinPosition); send.MinPosition < floors[key] {
					metrics["lowered"]++
				}
			}
		}
		if !hasServerFact {
			metrics["ungrounded"]++
		}
	}
	for _, result := range processed {
		send := sentTo[sendKey{result.ID, result.Server}]
		switch {
		case send == nil:
			metrics["unrecorded"]++
			continue
		case !send.Listed:
			metrics["unlisted"]++
		}
		if !result.Missed && !result.Write && send.Session == result.Session && result.Pos < send.MinPosition {
			metrics["below"]++
		}
	}
	return metrics
}
