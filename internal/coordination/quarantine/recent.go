package quarantine

import "time"

const (
	// answeredRetention is how long an answered subject is remembered at least.
	answeredRetention = time.Minute
	// maxAnswered limits the memory. With more subjects they are remembered for a shorter time.
	maxAnswered = 8192
)

// recentSubjects remembers when subjects were last added, in two generations. Its zero value is empty.
type recentSubjects struct {
	current, previous map[Subject]time.Time
	// currentSince is when the current generation began.
	currentSince time.Time
}

func (g *recentSubjects) add(s Subject, now time.Time) {
	g.rotate(now)
	g.current[s] = now
}

// last returns when a subject was last added, or zero if it is not remembered.
func (g *recentSubjects) last(s Subject, now time.Time) time.Time {
	g.rotate(now)
	if at, ok := g.current[s]; ok {
		return at
	}
	return g.previous[s]
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
	g.previous, g.current, g.currentSince = g.current, make(map[Subject]time.Time), now
}
