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

// showMembers prints what a router knows of the others.
func showMembers(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("members takes the socket that the router's settings name")
	}
	var m peer.Report
	if err := admin.Query(c.Args().First(), "members", &m); err != nil {
		return err
	}
	out, v := c.Root().Writer, m.View
	side := "not more than half: no part grows"
	if v.Majority {
		side = "a majority"
	}
	fmt.Fprintf(out, "%s of %s: counts %d of %d, %s, for %.0f s\n", m.Name, m.Cluster, v.Present, v.Configured, side, v.SinceS)
	held := "may have been left out"
	if v.IsHolder {
		held = fmt.Sprintf("held; %d are gone and divided", v.Excluded)
	}
	fmt.Fprintf(out, "part %.4f (even %.4f), %s\n", v.Share, 1/float64(max(v.Configured, 1)), held)
	if v.Isolated {
		fmt.Fprintln(out, "cut off: hears hardly anybody, or is not heard")
	}
	if v.DuplicateName {
		fmt.Fprintln(out, "another, older process has this name: this one takes no part")
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "name\tstate\tsince s\theard s ago\ttrip ms\tincarnation\tboot\taddress\tsaid by")
	for _, r := range m.Members {
		heard := "never"
		if r.LastHeardS >= 0 {
			heard = fmt.Sprintf("%.1f", r.LastHeardS)
		}
		fmt.Fprintf(w, "%s\t%s\t%.0f\t%s\t%.2f\t%d\t%d\t%s\t%s\n", r.Name, r.State, r.SinceS, heard, r.RoundTripMS, r.Incarnation, r.Epoch, r.Address, r.ReportedBy)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	n := m.Counts
	_, err := fmt.Fprintf(out, "messages: sent %d (%d bytes, %d not), taken %d; not taken: garbage %d, other version %d, no known key %d, other cluster %d, had before %d, for an earlier process %d, queue full %d\n",
		n.Sent, n.SentBytes, n.NotSent, n.Accepted, n.Malformed, n.OtherVersion, n.Unauthenticated, n.OtherCluster, n.Replayed, n.Outdated, n.QueueFull)
	return err
}
