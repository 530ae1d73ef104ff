// Package obs defines the numbered log events, expvar metrics and traces of a router, and a writer that
// limits its log volume. Every package that logs or counts something uses it.
package obs

import (
	"fmt"
	"sort"

	"github.com/sirupsen/logrus"
)

// Event is one kind of log line. Its number never changes and is never reused, so that operators can alert on
// it.
type Event struct {
	ID      int
	Level   logrus.Level
	Message string
	// Help explains the event and what an operator should do.
	Help string
}

var eventsByID = map[int]Event{}

// register adds an event to the list of all events. It panics if the number is already in use, which is a
// programming error.
func register(id int, level logrus.Level, message, help string) Event {
	if _, exists := eventsByID[id]; exists {
		panic(fmt.Sprintf("log event number %d is registered twice", id))
	}
	e := Event{ID: id, Level: level, Message: message, Help: help}
	eventsByID[id] = e
	return e
}

// Events returns all events, sorted by number.
func Events() []Event {
	all := make([]Event, 0, len(eventsByID))
	for _, e := range eventsByID {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// Log writes the event with its number and the given fields.
func (e Event) Log(logger logrus.FieldLogger, fields logrus.Fields) {
	entry := logger.WithField("event", e.ID).WithFields(fields)
	entry.Log(e.Level, e.Message)
}
