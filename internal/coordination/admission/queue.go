package admission

import "github.com/dotterelthread/dotterelthread/internal/protocol/record"

// classQueue holds the waiting requests of one class. Teams are served by
// deficit round robin weighted by tokens, so that between two teams that always
// have requests waiting the served tokens differ by at most one quantum and the
// largest request.
type classQueue struct {
	quantum int64
	teams   map[string]*teamQueue
	// ring holds the teams with waiting requests; at is the one being served.
	ring   []*teamQueue
	at     int
	tokens int64
	count  int
}

// teamQueue holds the waiting requests of one team, one queue per entry, so
// that an entry at its limit does not block the team's other entries.
type teamQueue struct {
	name    string
	deficit int64
	// served is true while the quantum of this round has been added.
	served bool
	flows  []*flow
	next   int
	tokens int64
	count  int
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
	team.add(t.cost, 1)
	q.tokens += t.cost
	q.count++
}

func (team *teamQueue) add(tokens int64, count int) {
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

// pop takes the next eligible request, or returns nil when none is eligible.
// A team without an eligible request keeps its deficit and gains nothing.
func (q *classQueue) pop(eligible func(*Ticket) bool) *Ticket {
	blocked := 0
	for len(q.ring) > 0 && blocked < len(q.ring) {
		team := q.ring[q.at]
		f := team.eligibleFlow(eligible)
		if f == nil {
			blocked++
			q.advance()
			continue
		}
		blocked = 0
		if !team.served {
			team.deficit += q.quantum
			team.served = true
		}
		t := f.tickets[0]
		if t.cost > team.deficit {
			q.advance()
			continue
		}
		team.deficit -= t.cost
		q.take(team, f, 0)
		return t
	}
	return nil
}

func (q *classQueue) advance() {
	q.ring[q.at].served = false
	q.at = (q.at + 1) % len(q.ring)
}

// eligibleFlow returns the team's next entry whose first request is eligible.
func (team *teamQueue) eligibleFlow(eligible func(*Ticket) bool) *flow {
	for i := range team.flows {
		k := (team.next + i) % len(team.flows)
		if eligible(team.flows[k].tickets[0]) {
			team.next = k
			return team.flows[k]
		}
	}
	return nil
}

// remove takes a request out whose caller gave up.
func (q *classQueue) remove(t *Ticket) {
	team := q.teams[t.teamName]
	if team == nil {
		return
	}
	f := team.flow(t.entryKey)
	for i, other := range f.tickets {
		if other == t {
			q.take(team, f, i)
			return
		}
	}
}

func (q *classQueue) take(team *teamQueue, f *flow, i int) {
	t := f.tickets[i]
	if i == 0 {
		f.tickets[0] = nil
		f.tickets = f.tickets[1:]
	} else {
		f.tickets = append(f.tickets[:i], f.tickets[i+1:]...)
	}
	team.add(-t.cost, -1)
	q.tokens -= t.cost
	q.count--
	team.rotate(f)
	if team.count == 0 {
		q.drop(team)
	}
}

// rotate moves on to the team's next entry and forgets an empty one.
func (team *teamQueue) rotate(f *flow) {
	for k, other := range team.flows {
		if other != f {
			continue
		}
		if len(f.tickets) == 0 {
			team.flows = append(team.flows[:k], team.flows[k+1:]...)
			team.next = k
		} else {
			team.next = k + 1
		}
	}
	if len(team.flows) > 0 {
		team.next %= len(team.flows)
	}
}

// drop forgets a team without waiting requests, with its deficit: an idle team
// saves nothing up.
func (q *classQueue) drop(team *teamQueue) {
	delete(q.teams, team.name)
	for i, other := range q.ring {
		if other != team {
			continue
		}
		q.ring = append(q.ring[:i], q.ring[i+1:]...)
		if i < q.at {
			q.at--
		}
		break
	}
	if q.at >= len(q.ring) {
		q.at = 0
	}
}
