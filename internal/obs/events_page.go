package obs

import (
	"fmt"
	"strings"
)

//go:generate go run ./eventsdoc ../../docs/events.md

// area is a range of event numbers, and one section of docs/events.md.
type area struct {
	first int
	name  string
}

// areaSize is the number of event numbers in an area.
const areaSize = 100

var areas = []area{
	{1000, "Daemon"}, {1100, "Callers' HTTP API"}, {1200, "Configuration"}, {1300, "Budgets and ledger"},
	{1400, "Membership and peers"}, {1500, "Routing and admission"}, {1600, "Requests and claims"},
	{1700, "Engine orders"}, {1800, "Keyed log and prepaid shares"},
}

// EventsPage returns the content of docs/events.md: every registered event, by area.
func EventsPage() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nGenerated from the registered events by `go generate ./internal/obs`. " +
		"The field `event` of a log line\nhas the number, which never changes and is never reused.\n")
	for _, a := range areas {
		fmt.Fprintf(&b, "\n## %s, %d-%d\n", a.name, a.first, a.first+areaSize-1)
		events := a.events()
		if len(events) == 0 {
			b.WriteString("\nNone yet.\n")
			continue
		}
		b.WriteString("\n| number | level | message | meaning and action |\n| --- | --- | --- | --- |\n")
		for _, e := range events {
			fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.ID, e.Level, e.Message, e.Help)
		}
	}
	return b.String()
}

func (a area) events() []Event {
	var events []Event
	for _, e := range Events() {
		if e.ID >= a.first && e.ID < a.first+areaSize {
			events = append(events, e)
		}
	}
	return events
}
