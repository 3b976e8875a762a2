//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = playMemory }

// The limits of a router's machine: 32 to 192 MB, and 256 to 1,024 descriptors.
var usualMachine = limits{Cores: 1, MemoryMB: 64, Sockets: 640}

const (
	valueBytes      = 64 << 10 // the longest value of the protocol page
	pipelineClients = 80       // at most a third of the descriptors
	pipelineDepth   = 16       // commands that a client sends at once
	requestsPerS    = 320      // a router gets 200 to 320 a second
	writeWaitMS     = 5000     // the deadline of class ausleihe
	readWaitMS      = 2000     // the deadline of class katalog-lesen
	serverWork      = 10 * time.Millisecond
	primaryHang     = 7 * time.Second // a data server that hangs takes requests and answers none for 6.8 to 22 s
)

// oberland is the settings object of the first deployment: three routers, three classes, replicas that turn reads away
// that they are too far behind for.
const oberland = `{"balancers":3,"granularity":5000000,"discovery":"automatic","workload":"replicas","me":0,"stage":0,"tiers":["ausleih-db"],
"classes":[
 {"deadline":2000000000,"effect":"free","gain":3,"keyScope":"all","lateWorth":0,"name":"katalog-lesen","objective":500000000,"streamed":false,"window":5000000000},
 {"deadline":2000000000,"effect":"free","gain":1,"keyScope":"all","lateWorth":0,"name":"eigene-lesen","objective":500000000,"streamed":false,"window":5000000000},
 {"deadline":5000000000,"effect":"guarded","gain":6,"keyScope":"cell","lateWorth":0.7,"name":"ausleihe","objective":1200000000,"streamed":false,"window":5000000000}],
"clientHabits":{"marksRetry":true},"customers":[],
"domain":{"answersStamped":true,"behind":"bounce","classRead":["lag_bound","causal","mutate"],"holdsFor":0,"lagAllowed":[300000000,0,0],
 "notes":"","reportX0":"","reportX1":"","sessionMarks":"brought","showsRole":"none","waitsForCopy":true,"zero":0},
"goal":{"whole":0.55,"worstClass":0.3,"worstTenant":0,"worstWindow":0.15},"kinds":["std-4"],
"limits":{"cancel":true,"connectTimeout":250000000,"cpuUsPerRequest":0,"cpuUsPerS":400000,"idleClose":30000000000,"maxAttempts":8,
 "maxRetryAfter":1000000000,"mostHeld":20000,"peerMessages":false,"probing":true,"retryAfter":true,"secondCopies":false,"streamsPerConn":1},
"overShareWorth":0.1,"penalties":{"connection":0,"crossZone":0.01,"discovery":0,"handshake":0,"lateFail":0.042,"moves":0,"origin":0,"peer":0,"probe":0.02,"waste":0.08},
"report":{"fields":["x0","x1","active"],"how":"probe"},
"rules":{"answerSlack":20000000,"askWithin":10000000000,"coldShare":0.17,"drainGrace":1000000000,"fallMultiple":3,"overloadFor":1500000000,"rampTime":18000000000},
"weights":"rough","worthBy":"request","zone":"halle-a","zones":["halle-a","halle-b","halle-c"]}`

// valueServer is a data server whose values have the greatest length.
type valueServer struct {
	play      *play
	name      string
	primary   bool
	listener  net.Listener
	cores     chan struct{}
	hungUntil atomic.Int64 // Unix ns
	received  sync.Map     // the ids of the requests that came, without those of the busy spell
}

func startValueServer(play *play, name string, primary bool) (*valueServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &valueServer{play: play, name: name, primary: primary, listener: listener, cores: make(chan struct{}, 64)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serve(conn)
		}
	}()
	return server, nil
}

func (server *valueServer) awaitHang() {
	for {
		left := time.Until(time.Unix(0, server.hungUntil.Load()))
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func (server *valueServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if readStartup(reader) != nil {
		return
	}
	server.awaitHang()
	if _, err := conn.Write(append(message('R', []byte{0, 0, 0, 0}), ready()...)); err != nil {
		return
	}
	for {
		kind, body, err := readMessage(reader)
		if err != nil || kind != 'Q' {
			return
		}
		text := string(body[:len(body)-1])
		request := fields(text)
		noted := request["id"] != "" && request["id"][0] != 'b'
		if noted {
			server.received.Store(request["id"], true)
			server.play.line("%s: %s of %s came, for %s ms", server.name, request["c"], request["id"], request["d"])
		}
		server.awaitHang()
		answer := server.answer(text)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if noted {
			server.play.line("%s: %s of %s has run or been turned away, %d bytes", server.name, request["c"], request["id"], len(answer))
		}
	}
}

func (server *valueServer) answer(text string) []byte {
	now := time.Now().UnixMilli()
	rank, position, role := "copy", now-10, 0
	if server.primary {
		rank, position, role = "source", now, 1
	}
	if text == "SHOW vitals" {
		return append(row(fmt.Appendf(nil, "x0=%d.%03d,x1=%d,inflight=0", position/1000, position%1000, role)), ready()...)
	}
	request := fields(text)
	out := errorResponse("25006", "no primary")
	if request["c"] != "ausleihe" || server.primary {
		server.cores <- struct{}{}
		time.Sleep(serverWork)
		<-server.cores
		value := make([]byte, valueBytes)
		copy(value, "v:"+request["id"])
		if request["c"] == "ausleihe" {
			value = value[:len(request["id"])+2]
		}
		out = row(value)
	}
	out = append(out, parameter("rank", rank)...)
	out = append(out, parameter("as_of", strconv.FormatInt(position, 10))...)
	return append(out, ready()...)
}

// startServers starts three groups of three data servers; the first of each is the primary.
func startServers(play *play) (servers []*valueServer, discovery *agent, err error) {
	var hosts []host
	for group := range 3 {
		for member := range 3 {
			server, err := startValueServer(play, fmt.Sprintf("s-%d-%d", group+1, member+1), member == 0)
			if err != nil {
				return nil, nil, err
			}
			servers = append(servers, server)
			hosts = append(hosts, host{server.name, server.listener.Addr().String(), "halle-a", "std-4", int64(group + 1), "SERVING", 1, 0})
		}
	}
	discovery, err = startAgent(hosts)
	return servers, discovery, err
}

func writeText(id string, cluster int) string {
	return fmt.Sprintf(`/* id=%s,c=ausleihe,d=%d,k=k%s,cluster=%d */ INSERT INTO objects (oid, body) VALUES ('%s', '\x9f03') RETURNING body`, id, writeWaitMS, id, cluster, id)
}

func readText(id string, cluster int) string {
	return fmt.Sprintf(`/* id=%s,c=katalog-lesen,d=%d,cluster=%d */ SELECT body FROM objects WHERE oid = '%s'`, id, readWaitMS, cluster, id)
}

// busySpell has clients write at each primary, so that the router knows the primaries and has learned how many writes
// each bears at once.
func busySpell(router *router) error {
	for cluster := 1; cluster <= 3; cluster++ {
		if _, result := ask(router.address, writeText(fmt.Sprintf("f%d", cluster), cluster), 5*time.Second); result.outcome != "served" {
			return fmt.Errorf("the first write of cluster %d: %s %s", cluster, result.outcome, result.text)
		}
		var clients sync.WaitGroup
		for number := range 60 {
			clients.Go(func() {
				c, err := connect(router.address)
				if err != nil {
					return
				}
				defer c.conn.Close()
				for i := range 40 {
					_, _ = c.conn.Write(query(writeText(fmt.Sprintf("b%d.%d.%d", cluster, number, i), cluster)))
					if result := c.readAnswer(time.Now().Add(6 * time.Second)); result.outcome == "closed" {
						return
					}
				}
			})
		}
		clients.Wait()
	}
	return nil
}

// hangPrimaries makes the primaries hang: three of nine data servers.
func hangPrimaries(play *play, servers []*valueServer) {
	for group := range 3 {
		servers[3*group].hungUntil.Store(time.Now().Add(primaryHang).UnixNano())
	}
	play.line("the primaries, three of nine data servers, hang for %v", primaryHang)
}

// playMemory has clients send many commands at once. The first of each is a write, which waits for a primary that hangs;
// the answers to the reads behind it have to wait for it in the router, as answers come in the order of the commands.
func playMemory(play *play) ([]string, error) {
	servers, discovery, err := startServers(play)
	if err != nil {
		return nil, err
	}
	router, err := startRouter(play.root, play.dir, "n0", discovery, usualMachine, oberland)
	if err != nil {
		return nil, err
	}
	defer router.stop()
	if err := busySpell(router); err != nil {
		return nil, err
	}
	if play.trouble {
		hangPrimaries(play, servers)
	}
	watch := watchMemory(play, router)
	var clients sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[string]int{}
	for number := range pipelineClients {
		time.Sleep(time.Second * pipelineDepth / requestsPerS)
		select {
		case <-router.ended:
			continue
		default:
		}
		clients.Go(func() {
			c, err := connect(router.address)
			if err != nil {
				play.line("client %d: connect: %v", number, err)
				return
			}
			defer c.conn.Close()
			commands := query(writeText(fmt.Sprintf("p%d.0", number), 1+number%3))
			for i := 1; i < pipelineDepth; i++ {
				commands = append(commands, query(readText(fmt.Sprintf("p%d.%d", number, i), 1+(number+i)%3))...)
			}
			sent := time.Now()
			if _, err := c.conn.Write(commands); err != nil {
				play.line("client %d: %v", number, err)
				return
			}
			play.lineAt(sent, "client %d sent %d commands at once", number, pipelineDepth)
			counts := map[string]int{}
			for i := range pipelineDepth {
				result := c.readAnswer(sent.Add(10 * time.Second))
				if result.outcome == "closed" || result.outcome == "silent" {
					counts["no answer"] += pipelineDepth - i
					play.line("client %d: %s", number, result.text)
					break
				}
				counts[result.outcome]++
			}
			play.line("client %d has its answers: %v", number, counts)
			mu.Lock()
			defer mu.Unlock()
			for outcome, count := range counts {
				outcomes[outcome] += count
			}
		})
	}
	clients.Wait()
	peak, over := watch()
	play.line("answers: %v; the router's peak: %d KB resident, %d KB of it anonymous; limit %d KB", outcomes, peak[0], peak[1], usualMachine.MemoryMB<<10)
	if over {
		return []string{fmt.Sprintf("the router took %d KB of anonymous memory, over its memory_mb of %d (%d KB), and was killed; answers: %v",
			peak[1], usualMachine.MemoryMB, usualMachine.MemoryMB<<10, outcomes)}, nil
	}
	return nil, nil
}

// watchMemory samples the router's memory, and kills it, as the platform does, once it is over its limit. Only anonymous
// memory is counted: neither the program's file nor anything shared.
func watchMemory(play *play, router *router) (stop func() (peak [2]int, over bool)) {
	end, done := make(chan struct{}), make(chan struct{})
	var peak [2]int
	over := false
	go func() {
		defer close(done)
		logged := time.Time{}
		for {
			select {
			case <-end:
				return
			case <-time.After(10 * time.Millisecond):
			}
			resident, anonymous := router.memoryKB()
			peak[0], peak[1] = max(peak[0], resident), max(peak[1], anonymous)
			if time.Since(logged) > 250*time.Millisecond {
				logged = time.Now()
				play.line("memory: %d KB resident, %d KB of it anonymous", resident, anonymous)
			}
			if anonymous > usualMachine.MemoryMB<<10 && !over {
				over = true
				play.line("over memory_mb: %d KB anonymous; killed, as the platform does", anonymous)
				router.kill()
			}
		}
	}()
	return func() ([2]int, bool) {
		close(end)
		<-done
		return peak, over
	}
}
