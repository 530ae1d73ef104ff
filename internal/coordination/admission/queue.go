package admission

import "github.com/dotterelthread/dotterelthread/internal/protocol/record"

// classQueue holds the waiting requests of one class. Teams are served by deficit round robin, with the cost
// of a request in tokens: for two teams that always have requests waiting, the served tokens differ by at
// most one quantum plus the largest request.
type classQueue struct {
	quantum int64
	teams   map[string]*teamQueue
	// ring holds the teams with waiting requests; current is the index of the one being served.
	ring    []*teamQueue
	current int
	tokens  int64
	count   int
}

// teamQueue holds the waiting requests of one team, in one flow per entry, so that an entry at its limit does
// not block the team's other entries.
type teamQueue struct {
	name    string
	deficit int64
	// quantumAdded is set once this round's quantum has been added to deficit.
	quantumAdded bool
	flows        []*flow
	// nextFlow is the index of the flow to serve next.
	nextFlow int
	tokens   int64
	count    int
}

// flow holds the waiting requests of one entry in arrival order.
type flow struct {
	entry   record.EntryKey
	tickets []*Ticket
}

func (q *classQueue) push(t *Ticket) {
	if q.teams == nil {
		q.teams = make(map[string]*teamQueue)
	}
	team := q.teams[t.teamName]
	if team == nil {
		team = &teamQueue{name: t.teamName}
		q.teams[t.teamName] = team
		q.ring = append(q.ring, team)
	}
	f := team.flow(t.entryKey)
	f.tickets = append(f.tickets, t)
	team.adjustTotals(t.cost, 1)
	q.tokens += t.cost
	q.count++
}

// adjustTotals adds to the team's numbers of waiting tokens and requests. Both arguments are negative when a
// request leaves the queue.
func (team *teamQueue) adjustTotals(tokens int64, count int) {
	team.tokens += tokens
	team.count += count
}

func (team *teamQueue) flow(entry record.EntryKey) *flow {
	for _, f := range team.flows {
		if f.entry == entry {
			return f
		}
	}
	f := &flow{entry: entry}
	team.flows = append(team.flows, f)
	return f
}

func (q *classQueue) teamTokens(name string) int64 {
	if team := q.teams[name]; team != nil {
		return team.tokens
	}
	return 0
}

// pop removes and returns the next eligible request, or returns nil when none is eligible. A team without an
// eligible request keeps its deficit and gets no quantum.
func (q *classQueue) pop(eligible func(*Ticket) bool) *Ticket {
	blocked := 0
	for len(q.ring) > 0 && blocked < len(q.ring) {
		team := q.ring[q.current]
		f := team.eligibleFlow(eligible)
		if f == nil {
			blocked++
			q.nextTeam()
			continue
		}
		blocked = 0
		if !team.quantumAdded {
			team.deficit += q.quantum
			team.quantumAdded = true
		}
		t := f.tickets[0]
		if t.cost > team.deficit {
			q.nextTeam()
			continue
		}
		team.deficit -= t.cost
		q.removeAt(team, f, 0)
		return t
	}
	return nil
}

func (q *classQueue) nextTeam() {
	q.ring[q.current].quantumAdded = false
	q.current = (q.current + 1) % len(q.ring)
}

// eligibleFlow returns the team's next flow whose first request is eligible, and makes it the next to serve.
// It returns nil if there is none.
func (team *teamQueue) eligibleFlow(eligible func(*Ticket) bool) *flow {
	for i := range team.flows {
		k := (team.nextFlow + i) % len(team.flows)
		if eligible(team.flows[k].tickets[0]) {
			team.nextFlow = k
			return team.flows[k]
		}
	}
	return nil
}

// remove removes a request whose caller stopped waiting.
func (q *classQueue) remove(t *Ticket) {
	team := q.teams[t.teamName]
	if team == nil {
		return
	}
	f := team.flow(t.entryKey)
	for i, other := range f.tickets {
		if other == t {
			q.removeAt(team, f, i)
			return
		}
	}
}

func (q *classQueue) removeAt(team *teamQueue, f *flow, i int) {
	t := f.tickets[i]
	if i == 0 {
		f.tickets[0] = nil
		f.tickets = f.tickets[1:]
	} else {
		f.tickets = append(f.tickets[:i], f.tickets[i+1:]...)
	}
	team.adjustTotals(-t.cost, -1)
	q.tokens -= t.cost
	q.count--
	team.advanceFlow(f)
	if team.count == 0 {
		q.removeTeam(team)
	}
}

// advanceFlow advances to the flow after f, and deletes f if it is empty.
func (team *teamQueue) advanceFlow(f *flow) {
	for k, other := range team.flows {
		if other != f {
			continue
		}
		if len(f.tickets) == 0 {
			team.flows = append(team.flows[:k], team.flows[k+1:]...)
			team.nextFlow = k
		} else {
			team.nextFlow = k + 1
		}
	}
	if len(team.flows) > 0 {
		team.nextFlow %= len(team.flows)
	}
}

// removeTeam deletes a team without waiting requests, with its deficit: an idle team accumulates nothing.
func (q *classQueue) removeTeam(team *teamQueue) {
	delete(q.teams, team.name)
	for i, other := range q.ring {
		if other != team {
			continue
		}
		q.ring = append(q.ring[:i], q.ring[i+1:]...)
		if i < q.current {
			q.current--
		}
		break
	}
	if q.current >= len(q.ring) {
		q.current = 0
	}
}
