package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/operator"
)

type topupCommand struct {
	app  *app
	ID   string `long:"id" env:"DOTTERELCTL_TOPUP_ID" required:"yes" description:"ID of this change; a change with the same ID is applied only once"`
	Args struct {
		Entry  string `positional-arg-name:"ENTRY" required:"yes" description:"entry name"`
		Tokens int64  `positional-arg-name:"TOKENS" required:"yes" description:"tokens to add; a negative number (write it after --) removes free tokens"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *topupCommand) Execute([]string) error {
	ctx, cancel := c.app.context()
	defer cancel()
	applied, balance, err := c.app.client().Adjust(ctx, c.Args.Entry, c.ID, c.app.options.Author, c.Args.Tokens)
	if err != nil {
		return err
	}
	result := struct {
		Taken   int64            `json:"taken"`
		Balance operator.Balance `json:"balance"`
	}{applied, balance}
	return c.app.print(result, func(w io.Writer) {
		fmt.Fprintf(w, "%d of %d tokens taken\n", applied, c.Args.Tokens)
		printBalances(w, []operator.Balance{balance})
	})
}

type balanceCommand struct {
	app  *app
	Args struct {
		Entry string `positional-arg-name:"ENTRY" description:"entry name; all entries by default"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *balanceCommand) Execute([]string) error {
	ctx, cancel := c.app.context()
	defer cancel()
	balances, err := c.app.client().Balances(ctx, c.Args.Entry)
	if err != nil {
		return err
	}
	return c.app.print(balances, func(w io.Writer) { printBalances(w, balances) })
}

func printBalances(w io.Writer, balances []operator.Balance) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "ENTRY\tPREPAID\tSPENT\tSHARED\tFREE\t")
	for _, b := range balances {
		name := b.Entry.String()
		if b.Removed {
			name += " (removed)"
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t\n", name, b.Prepaid, b.Spent, b.Shared, b.Free)
	}
	_ = table.Flush()
}

type billsCommand struct {
	app  *app
	Args struct {
		Entry string `positional-arg-name:"ENTRY" required:"yes" description:"entry name"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *billsCommand) Execute([]string) error {
	ctx, cancel := c.app.context()
	defer cancel()
	bills, err := c.app.client().Bills(ctx, c.Args.Entry)
	if err != nil {
		return err
	}
	return c.app.print(bills, func(w io.Writer) {
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "TIME\tREQUEST\tTARGET\tINPUT\tOUTPUT\tCHARGED\tOUTCOME")
		var total int64
		for _, b := range bills {
			total += b.Charged
			fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", time.UnixMilli(b.UnixMilli).UTC().Format(time.RFC3339),
				b.RequestID, b.Target, b.InputTokens, b.OutputTokens, b.Charged, b.Outcome)
		}
		_ = table.Flush()
		fmt.Fprintf(w, "%d bills, %d tokens\n", len(bills), total)
	})
}
