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
}

// Stream sends a streaming chat completion request and calls emit for each event, in order and without gaps.
// It returns nil only after the end marker of the stream.
func (c *Client) Stream(ctx context.Context, call Call, emit func(Event) error) error {
	resp, err := c.postChat(ctx, call)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return c.readEvents(resp, call, 0, emit)
}

// Resume reads a stream that the engine holds, starting at event number offset.
func (c *Client) Resume(ctx context.Context, call Call, offset int, emit func(Event) error) error {
	resp, err := c.streamRequest(ctx, http.MethodGet, call, "?offset="+strconv.Itoa(offset))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := checkResponseIDs(resp, call); err != nil {
		return err
	}
	return c.readEvents(resp, call, offset, emit)
}

// readEvents reads events starting at number next. An event without an ID has the next number. An event with
// any other number ends the read, because the caller would receive an event twice or miss one.
func (c *Client) readEvents(resp *http.Response, call Call, next int, emit func(Event) error) error {
	lines := lineReader{r: bufio.NewReaderSize(resp.Body, lineBufferBytes), buffer: c.newBuffer(resp, maxEventBytes)}
	defer lines.buffer.Release()
	number := next
	for lines.read() {
		line := lines.line
		if id, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
			n, err := strconv.Atoi(string(id))
			if err != nil {
				return errors.Mark(err, ErrIncomplete)
			}
			number = n
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == chat.DoneMark {
			return nil
		}
		if number != next {
			return errors.Mark(errors.Newf("received event %d instead of event %d", number, next), ErrIncomplete)
		}
		if err := emitEvent(data, call, emit); err != nil {
			return err
		}
		next++
		number = next
	}
	return errors.Mark(errors.Newf("stream ended before its end marker: %v", lines.err), ErrIncomplete)
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

func emitEvent(data []byte, call Call, emit func(Event) error) error {
	var fields responseFields
	if err := json.Unmarshal(data, &fields); err != nil {
		return errors.Mark(err, ErrIncomplete)
	}
	if fields.ID != call.RequestID {
		return ErrMismatch
	}
	return emit(Event{Data: data, Usage: fields.Usage})
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
	body, err := c.readBody(resp)
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
func (c *Client) streamRequest(ctx context.Context, method string, call Call, suffix string) (*http.Response, error) {
	target := fmt.Sprintf("%s/v1/streams/%s%s", strings.TrimRight(call.Address, "/"), url.PathEscape(call.RequestID), suffix)
	req, err := newRequest(ctx, method, target, call, nil)
	if err != nil {
		return nil, err
	}
	// The HTTP transport may retry a request without a body.
	req.Body, req.ContentLength = http.NoBody, 0
	resp, err := c.do(req)
	if err != nil {
		return nil, err
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return resp, nil
	case http.StatusNotFound, http.StatusConflict:
		err = errors.Mark(errors.Newf("engine responded %s: %s", resp.Status, errorText(resp)), ErrNotHeld)
	default:
		err = errors.Newf("engine responded %s: %s", resp.Status, errorText(resp))
	}
	resp.Body.Close()
	return nil, err
}
