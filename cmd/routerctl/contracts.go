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

// loadContracts reads the contracts of a settings file in JSON or Jsonnet.
func loadContracts(path string) (*siteconfig.Contracts, contract.Settings, error) {
	var none contract.Settings
	if strings.HasSuffix(path, ".jsonnet") {
		text, err := render(path)
		if err != nil {
			return nil, none, err
		}
		file, err := os.CreateTemp("", "settings-*.json")
		if err != nil {
			return nil, none, err
		}
		defer os.Remove(file.Name())
		_, err = io.WriteString(file, text)
		if err = errors.Join(err, file.Close()); err != nil {
			return nil, none, err
		}
		path = file.Name()
	}
	config, err := siteconfig.Load(path)
	if err != nil {
		return nil, none, err
	}
	if config.Contracts == nil {
		return nil, none, errors.New("the settings file has no contracts section")
	}
	settings, err := config.Contracts.LedgerSettings(config.Contracts.NamedClasses(), 1, 0)
	return config.Contracts, settings, err
}

// checkContracts checks whether the fleet that the contracts name has the capacity that they promise.
func checkContracts(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return errors.New("contracts check takes one settings file")
	}
	contracts, settings, err := loadContracts(cmd.Args().First())
	if err != nil {
		return err
	}
	findings := settings.CheckCapacity(contract.Capacity{Groups: contracts.Fleet.Groups, PrimaryWorkPerSecond: contracts.Fleet.PrimaryWorkPerS, PromisableShare: contracts.Fleet.PromisableShare})
	for _, finding := range findings {
		fmt.Fprintf(cmd.Root().Writer, "contracts.%s: %s\n", finding.Path, finding.Text)
	}
	if len(findings) > 0 {
		return fmt.Errorf("%d findings", len(findings))
	}
	fmt.Fprintf(cmd.Root().Writer, "%d teams: the fleet has the capacity that their contracts promise\n", len(settings.Teams))
	return nil
}

// showContracts prints each team's contract as a table.
func showContracts(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return errors.New("contracts show takes one settings file")
	}
	contracts, _, err := loadContracts(cmd.Args().First())
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "team\tidentified by\tclass\tper second\tburst\tprimary share\topen\tretry share\tweight\thours")
	for _, team := range contracts.Teams {
		var identities, hours []string
		for kind, list := range map[string][]string{"user": team.Users, "database": team.Databases, "application": team.Applications} {
			for _, name := range list {
				identities = append(identities, kind+" "+name)
			}
		}
		slices.Sort(identities)
		for _, prefix := range team.Addresses {
			identities = append(identities, prefix.String())
		}
		for _, interval := range team.Hours {
			hours = append(hours, fmt.Sprintf("%s %s-%s x%v", strings.Join(interval.Days, "+"), interval.From, interval.To, interval.Factor))
		}
		names := make([]string, 0, len(team.Classes))
		for name := range team.Classes {
			names = append(names, name)
		}
		slices.Sort(names)
		for i, name := range names {
			teamCell, identityCell := team.Name, strings.Join(identities, ", ")
			if i > 0 {
				teamCell, identityCell = "", ""
			}
			fmt.Fprintf(table, "%s\t%s\t%s\t%v\t%v\t%v\t%d\t%v\t%v\t%s\n", teamCell, identityCell, name, team.Classes[name].PerS, team.Classes[name].Burst,
				team.PrimaryShare, team.MaxOpen, team.RetryShare, team.Weight, strings.Join(hours, ", "))
		}
	}
	if contracts.DefaultTeam == "" {
		fmt.Fprintln(table, "(no team)\trejected")
	} else {
		fmt.Fprintln(table, "(no team)\tteam "+contracts.DefaultTeam)
	}
	return table.Flush()
}

// showAccounts prints a router's accounts as a table, or as Prometheus metrics.
func showAccounts(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return errors.New("accounts takes the path of the accounts socket in the router's settings")
	}
	var rows []accounting.Row
	if err := admin.Query(cmd.Args().First(), "accounts", &rows); err != nil {
		return err
	}
	if cmd.Bool("metrics") {
		return writeMetrics(cmd.Root().Writer, rows)
	}
	table := tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "team\tclass\trequested\twithin\tborrowed\tdenied\tserved\tin objective\trejected\tfailed\tweight\tp50 ms\tp99 ms\t")
	for _, row := range rows {
		denied := uint64(0)
		for _, count := range row.RejectedByContract {
			denied += count
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t\n", row.Team, row.Class, row.Requested, row.Admitted["within"]+row.Admitted["repeat"],
			row.Admitted["borrowed"], denied, row.Served, row.InObjective, row.Rejected, row.Failed, row.Weight, row.P50MS, row.P99MS)
	}
	return table.Flush()
}

// writeMetrics writes accounts in the Prometheus text format.
func writeMetrics(out io.Writer, rows []accounting.Row) error {
	registry := prometheus.NewRegistry()
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		vector := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "lotushook", Name: name, Help: help}, append([]string{"team", "class"}, labels...))
		registry.MustRegister(vector)
		return vector
	}
	requested := counter("requests_asked_total", "Requests that came.")
	decided := counter("requests_decided_total", "Requests by what the contract said of them.", "reason")
	served := counter("requests_served_total", "Requests that were answered.")
	inObjective := counter("requests_in_aim_total", "Requests that were answered within their aim.")
	failed := counter("requests_failed_total", "Requests that were taken and not answered.", "how")
	weight := counter("worth_total", "Worth of what was answered within its aim.")
	for _, row := range rows {
		requested.WithLabelValues(row.Team, row.Class).Add(float64(row.Requested))
		served.WithLabelValues(row.Team, row.Class).Add(float64(row.Served))
		inObjective.WithLabelValues(row.Team, row.Class).Add(float64(row.InObjective))
		weight.WithLabelValues(row.Team, row.Class).Add(row.Weight)
		failed.WithLabelValues(row.Team, row.Class, "failed").Add(float64(row.Failed))
		failed.WithLabelValues(row.Team, row.Class, "turned_away").Add(float64(row.Rejected))
		for _, counts := range []map[string]uint64{row.Admitted, row.RejectedByContract} {
			for reason, count := range counts {
				decided.WithLabelValues(row.Team, row.Class, reason).Add(float64(count))
			}
		}
	}
	families, err := registry.Gather()
	if err != nil {
		return err
	}
	for _, family := range families {
		if _, err := expfmt.MetricFamilyToText(out, family); err != nil {
			return err
		}
	}
	return nil
}
