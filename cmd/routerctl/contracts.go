package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
	"github.com/urfave/cli/v3"

	"lotushook/internal/accounting"
	"lotushook/internal/admin"
	"lotushook/internal/siteconfig"
	"lotushook/policy/contract"
)

// contractsOf reads the contracts of a settings file, as JSON or Jsonnet.
func contractsOf(path string) (*siteconfig.Contracts, contract.Settings, error) {
	var none contract.Settings
	if strings.HasSuffix(path, ".jsonnet") {
		text, err := render(path)
		if err != nil {
			return nil, none, err
		}
		f, err := os.CreateTemp("", "settings-*.json")
		if err != nil {
			return nil, none, err
		}
		defer os.Remove(f.Name())
		_, err = io.WriteString(f, text)
		if err = errors.Join(err, f.Close()); err != nil {
			return nil, none, err
		}
		path = f.Name()
	}
	s, err := siteconfig.Load(path)
	if err != nil {
		return nil, none, err
	}
	if s.Contracts == nil {
		return nil, none, errors.New("the settings have no contracts")
	}
	b, err := s.Contracts.LedgerSettings(s.Contracts.NamedClasses(), 1, 0)
	return s.Contracts, b, err
}

// checkContracts holds the contracts against the fleet that they name.
func checkContracts(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("contracts check takes one settings file")
	}
	conf, book, err := contractsOf(c.Args().First())
	if err != nil {
		return err
	}
	found := book.CheckCapacity(contract.Capacity{Groups: conf.Fleet.Groups, PrimaryWorkPerSecond: conf.Fleet.PrimaryWorkPerS, PromisableShare: conf.Fleet.PromisableShare})
	for _, f := range found {
		fmt.Fprintf(c.Root().Writer, "contracts.%s: %s\n", f.Path, f.Text)
	}
	if len(found) > 0 {
		return fmt.Errorf("%d findings", len(found))
	}
	fmt.Fprintf(c.Root().Writer, "%d teams: nothing is promised that is not there\n", len(book.Teams))
	return nil
}

// showContracts prints who may do what.
func showContracts(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("contracts show takes one settings file")
	}
	conf, _, err := contractsOf(c.Args().First())
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "team\tknown by\tclass\ta second\tat once\tprimaries\topen\trepeats\tworth\thours")
	for _, t := range conf.Teams {
		var known, hours []string
		for kind, list := range map[string][]string{"user": t.Users, "database": t.Databases, "application": t.Applications} {
			for _, n := range list {
				known = append(known, kind+" "+n)
			}
		}
		slices.Sort(known)
		for _, p := range t.Addresses {
			known = append(known, p.String())
		}
		for _, h := range t.Hours {
			hours = append(hours, fmt.Sprintf("%s %s-%s x%v", strings.Join(h.Days, "+"), h.From, h.To, h.Factor))
		}
		names := make([]string, 0, len(t.Classes))
		for n := range t.Classes {
			names = append(names, n)
		}
		slices.Sort(names)
		for i, n := range names {
			team, who := t.Name, strings.Join(known, ", ")
			if i > 0 {
				team, who = "", ""
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%v\t%v\t%d\t%v\t%v\t%s\n", team, who, n, t.Classes[n].PerS, t.Classes[n].Burst,
				t.PrimaryShare, t.MaxOpen, t.RetryShare, t.Weight, strings.Join(hours, ", "))
		}
	}
	if conf.DefaultTeam == "" {
		fmt.Fprintln(w, "(none of them)\trefused")
	} else {
		fmt.Fprintln(w, "(none of them)\tteam "+conf.DefaultTeam)
	}
	return w.Flush()
}

// readAccounts prints a router's accounts as a table, or as metrics.
func readAccounts(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("accounts takes the socket that the router's settings name")
	}
	var rows []accounting.Row
	if err := admin.Query(c.Args().First(), "accounts", &rows); err != nil {
		return err
	}
	if c.Bool("metrics") {
		return metrics(c.Root().Writer, rows)
	}
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "team\tclass\tasked\twithin\tborrowed\trefused\tserved\tin aim\tturned away\tfailed\tworth\tp50 ms\tp99 ms\t")
	for _, r := range rows {
		refused := uint64(0)
		for _, n := range r.Refused {
			refused += n
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t\n", r.Team, r.Class, r.Requested, r.Grounds["within"]+r.Grounds["repeat"],
			r.Grounds["borrowed"], refused, r.Served, r.InObjective, r.Rejected, r.Failed, r.Weight, r.P50MS, r.P99MS)
	}
	return w.Flush()
}

// metrics writes rows in the text format that Prometheus reads.
func metrics(out io.Writer, rows []accounting.Row) error {
	reg := prometheus.NewRegistry()
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		v := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "lotushook", Name: name, Help: help}, append([]string{"team", "class"}, labels...))
		reg.MustRegister(v)
		return v
	}
	asked := counter("requests_asked_total", "Requests that came.")
	decided := counter("requests_decided_total", "Requests by what the contract said of them.", "reason")
	served := counter("requests_served_total", "Requests that were answered.")
	inAim := counter("requests_in_aim_total", "Requests that were answered within their aim.")
	failed := counter("requests_failed_total", "Requests that were taken and not answered.", "how")
	worth := counter("worth_total", "Worth of what was answered within its aim.")
	for _, r := range rows {
		asked.WithLabelValues(r.Team, r.Class).Add(float64(r.Requested))
		served.WithLabelValues(r.Team, r.Class).Add(float64(r.Served))
		inAim.WithLabelValues(r.Team, r.Class).Add(float64(r.InObjective))
		worth.WithLabelValues(r.Team, r.Class).Add(r.Weight)
		failed.WithLabelValues(r.Team, r.Class, "failed").Add(float64(r.Failed))
		failed.WithLabelValues(r.Team, r.Class, "turned_away").Add(float64(r.Rejected))
		for _, by := range []map[string]uint64{r.Grounds, r.Refused} {
			for reason, n := range by {
				decided.WithLabelValues(r.Team, r.Class, reason).Add(float64(n))
			}
		}
	}
	families, err := reg.Gather()
	if err != nil {
		return err
	}
	for _, f := range families {
		if _, err := expfmt.MetricFamilyToText(out, f); err != nil {
			return err
		}
	}
	return nil
}
