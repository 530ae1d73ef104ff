package quarantine

import "time"

const (
	// answeredRetention is how long an answered content is remembered at least.
	answeredRetention = time.Minute
	// maxAnswered limits the memory. With more contents they are remembered for a shorter time.
	maxAnswered = 8192
)

// recentSubjects remembers the subjects that were added last, in two generations. Its zero value is empty.
type recentSubjects struct {
	current, previous map[Subject]struct{}
	// currentSince is when the current generation began.
	currentSince time.Time
}

func (g *recentSubjects) add(s Subject, now time.Time) {
	g.rotate(now)
	g.current[s] = struct{}{}
}

func (g *recentSubjects) contains(s Subject, now time.Time) bool {
	g.rotate(now)
	_, inCurrent := g.current[s]
	_, inPrevious := g.previous[s]
	return inCurrent || inPrevious
}

// rotate begins a new generation if the current one is full or old.
func (g *recentSubjects) rotate(now time.Time) {
	age := now.Sub(g.currentSince)
	if g.current != nil && age < answeredRetention && len(g.current) < maxAnswered {
		return
	}
	if age >= 2*answeredRetention {
		g.current = nil
	}
	g.previous, g.current, g.currentSince = g.current, make(map[Subject]struct{}), now
}
