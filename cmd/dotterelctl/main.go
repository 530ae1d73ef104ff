// Command dotterelctl is the operators' tool: it checks and publishes the
// catalogue, changes prepaid amounts, and reads balances, bills and status.
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
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			panic(err)
		}
	}
	_, err := parser.ParseArgs(args)
	return app.exit(err)
}

// command is one command of the tool.
type command struct {
	name, short, long string
	data              flags.Commander
}

func (a *app) commands() []command {
	return []command{
		{"validate", "check a catalogue file", "Reports every finding in a catalogue file with line and path.", &validateCommand{app: a}},
		{"diff", "show what a publish would change", "Compares a catalogue file with the accepted catalogue.", &diffCommand{app: a}},
		{"publish", "publish a catalogue file", "Makes a file the accepted catalogue if --base is still the newest version.", &publishCommand{app: a}},
		{"topup", "change an entry's prepaid amount", "Adds tokens to an entry's budget, or takes free tokens away when negative. An id counts once.", &topupCommand{app: a}},
		{"balance", "show budgets", "Shows prepaid, spent, shared and free tokens of one entry or of all.", &balanceCommand{app: a}},
		{"bills", "show an entry's bills", "Lists the bills of an entry that the log still keeps, each request once.", &billsCommand{app: a}},
		{"audit", "compare spending with bills", "Folds the ledger twice, in two ways, and compares it with the bills: overspend, doubled and missing bills, shares of stopped routers.", &auditCommand{app: a}},
		{"status", "show routers", "Shows version in force, readiness and open requests of each router.", &statusCommand{app: a}},
		{"drain", "stop a router gracefully", "Asks a router to finish its requests, hand back its shares and exit.", &drainCommand{app: a}},
		{"hash", "hash a credential", "Prints the hash under which the catalogue keeps a credential. Reads it from standard input.", &hashCommand{app: a}},
	}
}
