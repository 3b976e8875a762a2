package main

import (
	"context"
	"errors"
	"fmt"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"lotushook/internal/admin"
	"lotushook/internal/peer"
)

// showMembers prints a router's view of the cluster.
func showMembers(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return errors.New("members takes the path of the members socket in the router's settings")
	}
	var report peer.Report
	if err := admin.Query(cmd.Args().First(), "members", &report); err != nil {
		return err
	}
	out, view := cmd.Root().Writer, report.View
	quorum := "no majority: its share does not grow"
	if view.Majority {
		quorum = "a majority"
	}
	fmt.Fprintf(out, "%s of cluster %s: %d of %d routers alive, %s, for %.0f s\n", report.Name, report.Cluster, view.Present, view.Configured, quorum, view.SinceS)
	lease := "lease expired: others may have declared this router dead"
	if view.IsHolder {
		lease = fmt.Sprintf("lease held; the shares of %d dead routers are divided among the others", view.Excluded)
	}
	fmt.Fprintf(out, "share %.4f (even share %.4f), %s\n", view.Share, 1/float64(max(view.Configured, 1)), lease)
	if view.Isolated {
		fmt.Fprintln(out, "isolated: this router hears from almost no other, or is not heard")
	}
	if view.DuplicateName {
		fmt.Fprintln(out, "an older process uses the same name: this one does not take part")
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "name\tstate\tsince s\theard s ago\tround trip ms\tincarnation\tepoch\taddress\treported by")
	for _, member := range report.Members {
		heard := "never"
		if member.LastHeardS >= 0 {
			heard = fmt.Sprintf("%.1f", member.LastHeardS)
		}
		fmt.Fprintf(table, "%s\t%s\t%.0f\t%s\t%.2f\t%d\t%d\t%s\t%s\n", member.Name, member.State, member.SinceS, heard, member.RoundTripMS, member.Incarnation, member.Epoch, member.Address, member.ReportedBy)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	counts := report.Counts
	_, err := fmt.Fprintf(out, "messages: sent %d (%d bytes, %d failed), accepted %d; dropped: malformed %d, other version %d, unknown key %d, other cluster %d, replayed %d, for an earlier process %d, queue full %d\n",
		counts.Sent, counts.SentBytes, counts.NotSent, counts.Accepted, counts.Malformed, counts.OtherVersion, counts.Unauthenticated, counts.OtherCluster, counts.Replayed, counts.Outdated, counts.QueueFull)
	return err
}
