package nettest

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Settings is the settings object of one router. It has three classes of requests: reads with a bounded staleness,
// session reads and idempotent writes. Probes are enabled, replicas check the positions that reads require, and answers
// contain positions.
const Settings = `{"balancers":1,"granularity":5000000,"discovery":"automatic","workload":"replicas","me":0,
"classes":[
 {"deadline":20000000000,"effect":"free","gain":3,"keyScope":"all","lateWorth":0,"name":"read","objective":5000000000,"window":5000000000},
 {"deadline":20000000000,"effect":"free","gain":1,"keyScope":"all","lateWorth":0,"name":"own","objective":5000000000,"window":5000000000},
 {"deadline":20000000000,"effect":"guarded","gain":6,"keyScope":"cell","lateWorth":0.7,"name":"write","objective":5000000000,"window":5000000000}],
"customers":[],
"domain":{"answersStamped":true,"behind":"bounce","classRead":["lag_bound","causal","mutate"],"holdsFor":0,
 "lagAllowed":[300000000,0,0],"sessionMarks":"brought","showsRole":"none","waitsForCopy":true,"zero":0},
"limits":{"cancel":true,"connectTimeout":5000000000,"idleClose":30000000000,"maxAttempts":8,"maxRetryAfter":1000000000,
 "mostHeld":100,"peerMessages":false,"probing":true,"retryAfter":true,"secondCopies":false,"streamsPerConn":1},
"penalties":{"lateFail":0.042},"report":{"fields":["x0","x1","active"],"how":"probe"},
"rules":{"answerSlack":20000000,"coldShare":0.17,"drainGrace":1000000000,"fallMultiple":3,"overloadFor":1500000000,"rampTime":18000000000},
"weights":"rough","zone":"a","zones":["a"]}`

// EndpointList returns a complete list in the format of discovery. Each server is given as "host address block health",
// where block is its group.
func EndpointList(seq int, servers ...string) string {
	var hosts []string
	for _, server := range servers {
		fields := strings.Fields(server)
		hosts = append(hosts, fmt.Sprintf(
			`{"host":%q,"dial":%q,"site":"a","class":"m","block":%s,"health":%q,"share":1.0,"born_ms":0}`, fields[0], fields[1], fields[2], fields[3]))
	}
	return fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[%s]}`, seq, strings.Join(hosts, ","))
}

// RouterConfig returns a router's configuration with an initial endpoint list.
func RouterConfig(listen, discovery, known string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",`+
		`"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		listen, discovery, known, Settings)
}

// WriteConfig writes a configuration to a temporary file and returns its path.
func WriteConfig(tb testing.TB, config string) string {
	tb.Helper()
	file := filepath.Join(tb.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		tb.Fatal(err)
	}
	return file
}

// HTTPResponse returns the step that sends a response with status 200 and the given body.
func HTTPResponse(name, body string) string {
	return fmt.Sprintf("send %s raw %q", name, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}
