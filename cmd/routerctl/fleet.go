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

const maxRows = 25 // of data servers and of outliers: those that stand out most

// columns are what the table over time shows; the sums have all.
var columns = []string{"asked", "served", "refused", "failed", "gone", "first", "repeated", "dial_up", "dial_unheard", "probes", "no_list", "node_suspected"}

// showFleet prints what the logs of a folder say of the whole fleet.
func showFleet(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("fleet takes one folder of logs")
	}
	f, err := fleetreport.Read(c.Args().First(), fleetreport.Options{Span: c.Duration("span"), Request: c.String("request")})
	if err != nil {
		return err
	}
	out := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	if c.IsSet("request") {
		if len(f.Lines) == 0 {
			return fmt.Errorf("no line of request %q: are ways written (log.trace)?", c.String("request"))
		}
		for _, l := range f.Lines {
			fmt.Fprintf(out, "%s\t%s\t%s\n", time.UnixMilli(l.CameMS).UTC().Format("15:04:05.000"), l.Router, l.Text)
		}
		return out.Flush()
	}
	if len(f.Routers) == 0 && len(f.Ends) == 0 {
		return errors.New("no line of totals in these logs: are they written (log.totals_ms)?")
	}
	fmt.Fprintf(out, "%d routers, %d data servers met, %d lines or parts not read\n", len(f.Routers), len(f.Servers), f.Skipped)
	sums(out, f)
	overTime(out, f)
	servers(out, f)
	outliers(out, f)
	ends(out, f)
	return out.Flush()
}

// grouped is a count, or the sum of all whose names go on behind it.
func grouped(row map[string]int64, name string) (n int64) {
	for key, v := range row {
		if key == name || strings.HasPrefix(key, name+"_") {
			n += v
		}
	}
	return n
}

func sums(out io.Writer, f *fleetreport.Fleet) {
	sum := f.Sum()
	fmt.Fprint(out, "\ncount\tall\ta router\n")
	for _, key := range slices.Sorted(maps.Keys(sum)) {
		fmt.Fprintf(out, "%s\t%d\t%.1f\n", key, sum[key], float64(sum[key])/float64(len(f.Routers)))
	}
}

func overTime(out io.Writer, f *fleetreport.Fleet) {
	fmt.Fprintf(out, "\nfrom\t%s\n", strings.Join(columns, "\t"))
	for _, at := range f.Spans() {
		fmt.Fprint(out, time.Unix(0, at*int64(f.Span)).UTC().Format("15:04:05"))
		for _, name := range columns {
			fmt.Fprintf(out, "\t%d", grouped(f.Times[at], name))
		}
		fmt.Fprintln(out)
	}
}

func servers(out io.Writer, f *fleetreport.Fleet) {
	fmt.Fprint(out, "\ndata server\trouters\tdone\tmiss\tbusy\tfailed\tlost\tunsent\n")
	bad := func(host string) int64 { s := f.Servers[host]; return s.Busy + s.Failed + s.NoResponse + s.NotSent }
	hosts := slices.SortedFunc(maps.Keys(f.Servers), func(x, y string) int {
		return cmp.Or(cmp.Compare(bad(y), bad(x)), strings.Compare(x, y))
	})
	for _, host := range hosts[:min(len(hosts), maxRows)] {
		s := f.Servers[host]
		fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", host, len(s.Routers), s.Succeeded, s.NotEligible, s.Busy, s.Failed, s.NoResponse, s.NotSent)
	}
	if more := len(hosts) - maxRows; more > 0 {
		fmt.Fprintf(out, "and %d with less that went wrong\n", more)
	}
}

func outliers(out io.Writer, f *fleetreport.Fleet) {
	all := f.Outliers()
	if len(all) == 0 {
		return
	}
	fmt.Fprint(out, "\nstands out\tcount\tits\tmedian\n")
	for _, o := range all[:min(len(all), maxRows)] {
		fmt.Fprintf(out, "%s\t%s\t%d\t%d\n", o.Router, o.Counter, o.Count, o.Median)
	}
}

func ends(out io.Writer, f *fleetreport.Fleet) {
	if len(f.Ends) == 0 {
		return
	}
	fmt.Fprint(out, "\nclass\tend\twhy\trequests\n")
	for _, e := range slices.SortedFunc(maps.Keys(f.Ends), func(x, y fleetreport.End) int { return cmp.Compare(f.Ends[y], f.Ends[x]) }) {
		fmt.Fprintf(out, "%s\t%s\t%s\t%d\n", e.Class, e.End, e.Why, f.Ends[e])
	}
}
