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
	// anyFirst is true if the stream may begin with any event.
	anyFirst bool
	// nextHasBegun is true if a response broke off within event next.
	nextHasBegun bool
}

// eventOrderAfter returns the order of a stream whose caller states the given ID of its last event, or none. Where streams
// cannot be resumed, an upstream may go on behind that event or begin anew.
func eventOrderAfter(lastEventID string, resumable bool) eventOrder {
	if lastEventID == "" {
		return eventOrder{}
	}
	last, err := strconv.ParseUint(lastEventID, 10, 63)
	if err != nil || !resumable {
		return eventOrder{anyFirst: true}
	}
	return eventOrder{next: last + 1, known: true}
}

// acceptFrom checks the next event with its ID. In a response that is not framed, a second response may begin within it.
func (o *eventOrder) acceptFrom(framed bool, event []byte, id string) error {
	if !framed {
		if err := checkFields(event); err != nil {
			return err
		}
	}
	return o.accept(id)
}

// accept checks the number of the next event. Its error is marked with errEventOrder.
func (o *eventOrder) accept(id string) error {
	n, err := strconv.ParseUint(id, 10, 63)
	switch {
	case err != nil:
		return errors.Wrapf(errEventOrder, "ID %.60q instead of event %d", id, o.next)
	case o.known && n != o.next, !o.known && !o.anyFirst && n > 1:
		return errors.Wrapf(errEventOrder, "event %d instead of event %d", n, o.next)
	}
	o.next, o.known, o.nextHasBegun = n+1, true, false
	return nil
}

// isAhead reports whether an ID is that of an event behind those that were accepted.
func (o *eventOrder) isAhead(id string) bool {
	n, err := strconv.ParseUint(id, 10, 63)
	return err == nil && n >= o.next
}

// statusLine begins the head of a response.
const statusLine = "HTTP/1."

// breakOff records that a response ended within an event. Its beginning shows that the stream has another event, unless it is
// a comment or that of a second response.
func (o *eventOrder) breakOff(begun []byte) {
	begun = bytes.TrimLeft(begun, "\r\n")
	n := min(len(begun), len(statusLine))
	if n > 0 && begun[0] != ':' && string(begun[:n]) != statusLine[:n] {
		o.nextHasBegun = true
	}
}

// isComment reports whether an event consists of comments and retry delays only. Such an event has no number.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if len(name) > 0 && string(name) != "retry" {
			return false
		}
	}
	return true
}

// checkFields reports an event that holds something else than an event, as if a response had broken off within it and a
// second one followed. The first line may be a field of the upstream's own.
func checkFields(event []byte) error {
	first := true
	for line := range bytes.Lines(bytes.TrimLeft(event, "\r\n")) {
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		switch string(name) {
		case "", "id", "data", "event", "retry":
		default:
			if !first {
				return errors.Wrapf(errEventOrder, "line %.60q within an event", line)
			}
		}
		first = false
	}
	return nil
}
