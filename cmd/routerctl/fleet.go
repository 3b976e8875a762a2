package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"lotushook/internal/fleetreport"
)

const maxRows = 25 // of the tables of data servers and outliers, the most conspicuous first

// columns are the counts in the table over time; the table of sums has all counts.
var columns = []string{"asked", "served", "refused", "failed", "gone", "first", "repeated", "dial_up", "dial_unheard", "probes", "no_list", "node_suspected"}

// showFleet prints a report on all routers whose logs are in a folder.
func showFleet(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return errors.New("fleet takes one folder of log files")
	}
	fleet, err := fleetreport.Read(cmd.Args().First(), fleetreport.Options{Span: cmd.Duration("span"), Request: cmd.String("request")})
	if err != nil {
		return err
	}
	out := tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', 0)
	if cmd.IsSet("request") {
		if len(fleet.Lines) == 0 {
			return fmt.Errorf("no log line of request %q: is tracing on (log.trace)?", cmd.String("request"))
		}
		for _, line := range fleet.Lines {
			fmt.Fprintf(out, "%s\t%s\t%s\n", time.UnixMilli(line.ArrivedAtMS).UTC().Format("15:04:05.000"), line.Router, line.Text)
		}
		return out.Flush()
	}
	if len(fleet.Routers) == 0 && len(fleet.Outcomes) == 0 {
		return errors.New("no line of totals in these logs: are totals on (log.totals_ms)?")
	}
	fmt.Fprintf(out, "%d routers, %d data servers seen, %d lines or parts of lines skipped\n", len(fleet.Routers), len(fleet.Servers), fleet.Skipped)
	writeSums(out, fleet)
	writeOverTime(out, fleet)
	writeServers(out, fleet)
	writeOutliers(out, fleet)
	writeOutcomes(out, fleet)
	return out.Flush()
}

// sumWithReasons adds up a count and those of its reasons, which are named NAME_REASON.
func sumWithReasons(row map[string]int64, name string) (sum int64) {
	for key, count := range row {
		if key == name || strings.HasPrefix(key, name+"_") {
			sum += count
		}
	}
	return sum
}

func writeSums(out io.Writer, fleet *fleetreport.Fleet) {
	sum := fleet.Sum()
	fmt.Fprint(out, "\ncount\tsum\tper router\n")
	for _, key := range slices.Sorted(maps.Keys(sum)) {
		fmt.Fprintf(out, "%s\t%d\t%.1f\n", key, sum[key], float64(sum[key])/float64(len(fleet.Routers)))
	}
}

func writeOverTime(out io.Writer, fleet *fleetreport.Fleet) {
	fmt.Fprintf(out, "\nfrom\t%s\n", strings.Join(columns, "\t"))
	for _, span := range fleet.Spans() {
		fmt.Fprint(out, time.Unix(0, span*int64(fleet.Span)).UTC().Format("15:04:05"))
		for _, name := range columns {
			fmt.Fprintf(out, "\t%d", sumWithReasons(fleet.Times[span], name))
		}
		fmt.Fprintln(out)
	}
}

func writeServers(out io.Writer, fleet *fleetreport.Fleet) {
	fmt.Fprint(out, "\ndata server\trouters\tdone\tmiss\tbusy\tfailed\tlost\tunsent\n")
	failures := func(host string) int64 { s := fleet.Servers[host]; return s.Busy + s.Failed + s.NoResponse + s.NotSent }
	hosts := slices.SortedFunc(maps.Keys(fleet.Servers), func(x, y string) int {
		return cmp.Or(cmp.Compare(failures(y), failures(x)), strings.Compare(x, y))
	})
	for _, host := range hosts[:min(len(hosts), maxRows)] {
		seen := fleet.Servers[host]
		fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", host, len(seen.Routers), seen.Succeeded, seen.NotEligible, seen.Busy, seen.Failed, seen.NoResponse, seen.NotSent)
	}
	if more := len(hosts) - maxRows; more > 0 {
		fmt.Fprintf(out, "and %d with fewer failures\n", more)
	}
}

func writeOutliers(out io.Writer, fleet *fleetreport.Fleet) {
	found := fleet.Outliers()
	if len(found) == 0 {
		return
	}
	fmt.Fprint(out, "\noutlier\tcount\tvalue\tmedian\n")
	for _, outlier := range found[:min(len(found), maxRows)] {
		fmt.Fprintf(out, "%s\t%s\t%d\t%d\n", outlier.Router, outlier.Counter, outlier.Count, outlier.Median)
	}
}

func writeOutcomes(out io.Writer, fleet *fleetreport.Fleet) {
	if len(fleet.Outcomes) == 0 {
		return
	}
	fmt.Fprint(out, "\nclass\toutcome\treason\trequests\n")
	for _, outcome := range slices.SortedFunc(maps.Keys(fleet.Outcomes), func(x, y fleetreport.Outcome) int { return cmp.Compare(fleet.Outcomes[y], fleet.Outcomes[x]) }) {
		fmt.Fprintf(out, "%s\t%s\t%s\t%d\n", outcome.Class, outcome.End, outcome.Why, fleet.Outcomes[outcome])
	}
}
