// Command dotterelctl is the command-line tool for operators. It checks and publishes the catalogue, changes
// prepaid amounts, shows balances, bills and the status of routers, compares spending with bills, and
// drains routers.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var app app
	parser := flags.NewParser(&app.options, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "dotterelctl"
	for _, c := range app.commands() {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.executor); err != nil {
			panic(err)
		}
	}
	_, err := parser.ParseArgs(args)
	return app.reportError(err)
}

// command is one subcommand of the tool.
type command struct {
	name, short, long string
	executor          flags.Commander
}

func (a *app) commands() []command {
	return []command{
		{"validate", "check a catalogue file", "Reports all findings in a catalogue file with their line and path.", &validateCommand{app: a}},
		{"diff", "show what publishing a file would change", "Compares a catalogue file with the accepted catalogue.", &diffCommand{app: a}},
		{"publish", "publish a catalogue file", "Publishes a file as the new catalogue version if --base is still the newest version.", &publishCommand{app: a}},
		{"topup", "change an entry's prepaid amount", "Adds tokens to an entry's budget, or removes free tokens if negative. A change with the same ID is applied only once.", &topupCommand{app: a}},
		{"balance", "show budgets", "Shows prepaid, spent, shared and free tokens of one entry or of all.", &balanceCommand{app: a}},
		{"bills", "show an entry's bills", "Lists the bills of an entry that the log still retains, one for each request.", &billsCommand{app: a}},
		{"audit", "compare spending with bills", "Computes the ledger with two implementations and compares it with the bills. Reports overspend, conflicting and missing bills, and shares of terminated routers.", &auditCommand{app: a}},
		{"status", "show the status of routers", "Shows the active configuration version, readiness and open requests of each router.", &statusCommand{app: a}},
		{"drain", "stop routers gracefully", "Makes routers finish their requests, return their shares and exit. Stops at the first router that cannot be reached.", &drainCommand{app: a}},
		{"hash", "hash a credential", "Reads a credential from standard input and prints its hash for the catalogue.", &hashCommand{app: a}},
	}
}
