package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/transport/membuf"
)

// Event is one event of a stream. Data is valid until the next event is read.
type Event struct {
	Data  []byte
	Usage *chat.Usage
	// Finished are the indices of the choices that the event ends.
	Finished []int
	// SoftwareVersion is what the engine states, or empty.
	SoftwareVersion string
}

// eventFields are the fields of an event that the router reads.
type eventFields struct {
	responseFields
	Choices []struct {
		Index        int    `json:"index"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// Stream sends a streaming chat completion request and calls emit for each event, in order and without gaps.
// It returns nil only after the end marker of the stream. The marker does not show that the last events came: the caller
// checks that all choices have finished.
func (c *Client) Stream(ctx context.Context, call Call, emit func(Event) error) error {
	resp, err := c.postChat(ctx, call)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return c.readEvents(resp, call, 0, emit)
}

// Resume reads a stream that the engine holds, starting at event number offset. An engine of another software version
// than call.SoftwareVersion, or that states none, is an ErrNotHeld.
func (c *Client) Resume(ctx context.Context, call Call, offset int, emit func(Event) error) error {
	resp, err := c.streamRequest(ctx, http.MethodGet, call, "?offset="+strconv.Itoa(offset))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := checkResponseIDs(resp, call); err != nil {
		return err
	}
	if version := resp.Header.Get(chat.HeaderSoftwareVersion); version != call.SoftwareVersion {
		err := errors.Newf("engine has software version %.60q, but the stream began at %.60q", version, call.SoftwareVersion)
		return errors.Mark(err, ErrNotHeld)
	}
	return c.readEvents(resp.Response, call, offset, emit)
}

// readEvents reads events starting at number next. Any other number ends the read, because the caller would receive an
// event twice or miss one. So does an event without a number, unless no event of the stream has one: a missing or a
// second copy of an event would else be taken for its neighbor.
//
// A stream without numbers is read from its start only, and only if the end of its body is marked: without a mark, a
// second response can follow in the same body.
func (c *Client) readEvents(resp *http.Response, call Call, next int, emit func(Event) error) error {
	lines := lineReader{r: bufio.NewReaderSize(resp.Body, lineBufferBytes), buffer: c.newBuffer(resp, maxEventBytes)}
	defer lines.buffer.Release()
	version := resp.Header.Get(chat.HeaderSoftwareVersion)
	sequence := eventSequence{next: next, started: next > 0, numbered: next > 0 || !endIsMarked(resp), number: noNumber}
	for lines.read() {
		switch name, value := cutField(lines.line); {
		case len(lines.line) == 0:
			sequence.number = noNumber
		case string(name) == "id":
			n, err := strconv.Atoi(string(value))
			if err != nil || n < 0 {
				return errors.Mark(errors.Newf("%.60q is not the number of an event", value), ErrIncomplete)
			}
			sequence.number = n
		case string(name) == "data" && string(value) == chat.DoneMark:
			return nil
		case string(name) == "data":
			if err := sequence.accept(); err != nil {
				return errors.Mark(err, ErrIncomplete)
			}
			if err := emitEvent(value, call, version, emit); err != nil {
				return err
			}
		}
	}
	return errors.Mark(errors.Newf("stream ended before its end marker: %v", lines.err), ErrIncomplete)
}

// cutField divides a line of a stream at its colon. One space after the colon does not belong to the value.
func cutField(line []byte) (name, value []byte) {
	name, value, _ = bytes.Cut(line, []byte(":"))
	return name, bytes.TrimPrefix(value, []byte(" "))
}

// noNumber is the number of an event that has none.
const noNumber = -1

// eventSequence checks that each event follows the one before.
type eventSequence struct {
	// next is the number of the next event.
	next int
	// number is the number that the event in progress states, or noNumber.
	number int
	// numbered is true if each event must state its number. Unless it is true from the start, the first event decides.
	numbered bool
	started  bool
}

// accept accepts the event in progress as the next one.
func (s *eventSequence) accept() error {
	stated := s.number != noNumber
	if !s.started {
		s.numbered = s.numbered || stated
	}
	switch {
	case s.numbered && !stated:
		return errors.Newf("received an event without a number instead of event %d", s.next)
	case !s.numbered && stated:
		return errors.Newf("received event %d after %d events without a number", s.number, s.next)
	case stated && s.number != s.next:
		return errors.Newf("received event %d instead of event %d", s.number, s.next)
	}
	s.started, s.number = true, noNumber
	s.next++
	return nil
}

// lineBufferBytes is the size of the read buffer of a stream. It holds most lines.
const lineBufferBytes = 4 << 10

// lineReader reads lines into a buffer of limited memory.
type lineReader struct {
	r      *bufio.Reader
	buffer *membuf.Buffer
	// line is the last line without its end. It is valid until the next call of read.
	line []byte
	// err is the error that ended the reads, io.EOF at the end.
	err error
}

// read reads the next line and reports whether there was one. The last line need not end.
func (l *lineReader) read() bool {
	l.buffer.Reset()
	for l.err == nil {
		var part []byte
		part, l.err = l.r.ReadSlice('\n')
		if _, err := l.buffer.Write(part); err != nil {
			l.err = err
			return false
		}
		if errors.Is(l.err, bufio.ErrBufferFull) {
			l.err = nil
			continue
		}
		if l.err == nil || errors.Is(l.err, io.EOF) && l.buffer.Len() > 0 {
			l.line = bytes.TrimSuffix(bytes.TrimSuffix(l.buffer.Bytes(), []byte("\n")), []byte("\r"))
			return true
		}
	}
	return false
}

func emitEvent(data []byte, call Call, version string, emit func(Event) error) error {
	var fields eventFields
	if err := json.Unmarshal(data, &fields); err != nil {
		return errors.Mark(err, ErrIncomplete)
	}
	if fields.ID != call.RequestID {
		return ErrMismatch
	}
	event := Event{Data: data, Usage: fields.Usage, SoftwareVersion: version}
	for _, choice := range fields.Choices {
		if choice.FinishReason != "" {
			event.Finished = append(event.Finished, choice.Index)
		}
	}
	return emit(event)
}

// Cancel stops the run of an attempt and returns its usage.
func (c *Client) Cancel(ctx context.Context, call Call) (chat.RunUsage, error) {
	return c.requestUsage(ctx, http.MethodDelete, call, "")
}

// Usage returns the usage of a request at an engine.
func (c *Client) Usage(ctx context.Context, call Call) (chat.RunUsage, error) {
	return c.requestUsage(ctx, http.MethodGet, call, "/usage")
}

// requestUsage sends a request about a run at an engine and decodes the usage in its response. With DELETE
// the engine also stops the run.
func (c *Client) requestUsage(ctx context.Context, method string, call Call, suffix string) (chat.RunUsage, error) {
	resp, err := c.streamRequest(ctx, method, call, suffix)
	if err != nil {
		return chat.RunUsage{}, err
	}
	defer resp.Body.Close()
	body, err := c.readBody(resp.Response)
	if err != nil {
		return chat.RunUsage{}, err
	}
	defer body.Release()
	var usage chat.RunUsage
	if err := json.Unmarshal(body.Bytes(), &usage); err != nil {
		return chat.RunUsage{}, errors.Wrap(err, "decode usage")
	}
	if usage.RequestID != call.RequestID {
		return chat.RunUsage{}, ErrMismatch
	}
	return usage, nil
}

// streamRequest sends a request about a run that an engine holds. The URL calls a run a stream, whether or
// not its response is streamed. All such requests are idempotent.
func (c *Client) streamRequest(ctx context.Context, method string, call Call, suffix string) (response, error) {
	target := fmt.Sprintf("%s/v1/streams/%s%s", strings.TrimRight(call.Address, "/"), url.PathEscape(call.RequestID), suffix)
	req, err := newRequest(ctx, method, target, call, nil)
	if err != nil {
		return response{}, err
	}
	// The HTTP transport may retry a request without a body.
	req.Body, req.ContentLength = http.NoBody, 0
	resp, err := c.do(req)
	if err != nil {
		return response{}, err
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		return resp, nil
	case statesOtherIDs(resp, call):
		err = errors.Wrapf(resp.mismatch(), "engine responded %s", resp.Status)
	case resp.StatusCode == http.StatusNotFound, resp.StatusCode == http.StatusConflict:
		err = errors.Mark(errors.Newf("engine responded %s: %s", resp.Status, errorText(resp.Response)), ErrNotHeld)
	default:
		err = errors.Newf("engine responded %s: %s", resp.Status, errorText(resp.Response))
	}
	resp.Body.Close()
	return response{}, err
}
