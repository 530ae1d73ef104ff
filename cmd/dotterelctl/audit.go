package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/audit"
	"github.com/dotterelthread/dotterelthread/internal/transport/logclient"
)

type auditCommand struct {
	app       *app
	VMListURL string `long:"vm-list-url" env:"DOTTERELCTL_VM_LIST_URL" description:"base URL of the platform's VM list; without it, all routers count as running and no share as stranded"`
}

// Execute implements flags.Commander.
func (c *auditCommand) Execute([]string) error {
	ctx, cancel := c.app.context()
	defer cancel()
	isListed, err := c.holderListedFunc(ctx)
	if err != nil {
		return err
	}
	reports, err := audit.Run(ctx, logclient.New(c.app.options.LogURL), c.app.options.Partitions, isListed)
	if err != nil {
		return err
	}
	if err := c.app.print(reports, func(w io.Writer) { printAudit(w, reports) }); err != nil {
		return err
	}
	return auditError(reports)
}

// holderListedFunc returns a function that reports whether the VM of a holder is on the VM list. The list does
// not name processes, so a process that was replaced by another on a listed VM still counts as running.
func (c *auditCommand) holderListedFunc(ctx context.Context) (func(record.HolderID) bool, error) {
	if c.VMListURL == "" {
		return func(record.HolderID) bool { return true }, nil
	}
	vms, err := logclient.New(c.VMListURL).VMs(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read VM list")
	}
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = true
	}
	return func(holder record.HolderID) bool {
		vm, _, _ := strings.Cut(string(holder), "/")
		return listed[vm]
	}, nil
}

// auditError returns errAuditFindings if an entry has a finding. Malformed records do not count as a finding.
func auditError(reports []audit.Report) error {
	for _, r := range reports {
		for i := range r.Entries {
			if !r.Entries[i].OK() {
				return errAuditFindings
			}
		}
	}
	return nil
}

func printAudit(w io.Writer, reports []audit.Report) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "ENTRY\tPREPAID\tSPENT\tBILLED\tBILLS\tOVERSPEND\tMISSING\tUNSETTLED\tDOUBLED\tSTRANDED\t")
	for _, r := range reports {
		for _, e := range r.Entries {
			var stranded int64
			for _, s := range e.Stranded {
				stranded += s.Outstanding
			}
			fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", e.Key, e.Prepaid, e.Spent,
				e.Billed, e.Bills, e.Overspend, e.Missing, e.Unsettled, len(e.ConflictingBills), stranded)
		}
	}
	_ = table.Flush()
	for _, r := range reports {
		if r.LedgerMalformed+r.BillsMalformed > 0 {
			fmt.Fprintf(w, "partition %d: %d malformed ledger records, %d malformed bill records\n",
				r.Partition, r.LedgerMalformed, r.BillsMalformed)
		}
		if !r.Recomputed {
			fmt.Fprintf(w, "partition %d: the log no longer has every ledger record; the second fold was left out\n", r.Partition)
		}
	}
}
