package sim

import (
	"fmt"
	"strings"

	"github.com/dotterelthread/dotterelthread/internal/coordination/budget"
)

// Seed is the seed that produced the table in docs/measurements.md.
const Seed = 20261204

// Row holds the counts of one schedule under each of the three strategies.
type Row struct {
	Schedule                        string
	PerRequest, StaticSplit, Shares counts
}

// Compare runs every schedule under each of the three strategies.
func Compare(seed int64) []Row {
	var rows []Row
	for _, schedule := range Schedules() {
		p := newPlan(schedule, seed)
		rows = append(rows, Row{
			Schedule:    schedule.Name,
			PerRequest:  p.run(newPoolStrategy(true)),
			StaticSplit: p.run(newPoolStrategy(false)),
			Shares:      p.run(newShareStrategy(budget.DefaultPolicy())),
		})
	}
	return rows
}

// Table formats the rows as Markdown.
func Table(rows []Row) string {
	var b strings.Builder
	b.WriteString("| schedule | strategy | requests | refused | false refusals | of requests | overspend | appends |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, row := range rows {
		for _, s := range []struct {
			name string
			t    counts
		}{{"(a) append per request", row.PerRequest}, {"(b) static split", row.StaticSplit}, {"(c) shares", row.Shares}} {
			fmt.Fprintf(&b, "| %s | %s | %d | %d | %d | %.3f%% | %d | %d |\n", row.Schedule, s.name, s.t.Requests,
				s.t.Refused, s.t.FalseRefusals, 100*float64(s.t.FalseRefusals)/float64(s.t.Requests), s.t.Overspend, s.t.Appends)
		}
	}
	return b.String()
}
