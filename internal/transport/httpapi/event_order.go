package httpapi

import (
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"
)

// errEventOrder reports an event that does not follow the one before it in its stream.
var errEventOrder = errors.New("event does not follow the one before")

// eventOrder checks that the events of a stream follow one another, over all responses that the stream consists of. The
// ID of an event is its number. A stream begins with event 0 or 1, and a resumed one behind the last event that the caller has.
type eventOrder struct {
	next uint64
	// known is false until the first event of a stream that the caller reads from its beginning.
	known bool
	// nextHasBegun is true if a response broke off within event next.
	nextHasBegun bool
}

// eventOrderAfter returns the order of a stream whose caller has the events up to the one with the given ID. If the ID is
// empty or no number, the caller is taken to have none.
func eventOrderAfter(lastEventID string) eventOrder {
	last, err := strconv.ParseUint(lastEventID, 10, 63)
	if err != nil {
		return eventOrder{}
	}
	return eventOrder{next: last + 1, known: true}
}

// accept checks the next event. Its error is marked with errEventOrder.
func (o *eventOrder) accept(id string) error {
	n, err := strconv.ParseUint(id, 10, 63)
	switch {
	case err != nil:
		return errors.Wrapf(errEventOrder, "ID %.60q instead of event %d", id, o.next)
	case o.known && n != o.next, !o.known && n > 1:
		return errors.Wrapf(errEventOrder, "event %d instead of event %d", n, o.next)
	}
	o.next, o.known, o.nextHasBegun = n+1, true, false
	return nil
}

// isComment reports whether an event consists of comments only. Callers ignore it, and it has no number.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line[0] != ':' && len(bytes.TrimRight(line, "\r\n")) > 0 {
			return false
		}
	}
	return true
}
