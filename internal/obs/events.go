// Package obs holds what a process shows of itself: numbered log events,
// expvar metrics and traces.
package obs

import (
	"fmt"
	"sort"

	"github.com/sirupsen/logrus"
)

// Event is one kind of log line. Its number never changes and is never reused,
// so that operators can alert on it.
type Event struct {
	ID      int
	Level   logrus.Level
	Message string
	// Help says what the event means and what an operator does.
	Help string
}

var registered = map[int]Event{}

// register adds an event to the catalogue. It panics on a number in use, which
// can only be a programming error.
func register(id int, level logrus.Level, message, help string) Event {
	if _, taken := registered[id]; taken {
		panic(fmt.Sprintf("log event number %d is registered twice", id))
	}
	e := Event{ID: id, Level: level, Message: message, Help: help}
	registered[id] = e
	return e
}

// Events returns all events by number.
func Events() []Event {
	all := make([]Event, 0, len(registered))
	for _, e := range registered {
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
