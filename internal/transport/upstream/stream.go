package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
)

// Event is one event of a stream. Data is valid until the next event.
type Event struct {
	Data  []byte
	Usage *chat.Usage
}

// Stream sends a streamed chat completion and calls emit for each event, in
// order and without a gap. It returns nil only after the end of the stream.
func (c *Client) Stream(ctx context.Context, call Call, emit func(Event) error) error {
	resp, err := c.post(ctx, call)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return readEvents(resp, call, 0, emit)
}

// Resume reads a stream that the engine holds, from event number offset on.
func (c *Client) Resume(ctx context.Context, call Call, offset int, emit func(Event) error) error {
	resp, err := c.control(ctx, http.MethodGet, call, "?offset="+strconv.Itoa(offset))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := checkIdentity(resp, call); err != nil {
		return err
	}
	return readEvents(resp, call, offset, emit)
}

// readEvents reads events from number next on. An event without a number takes
// the next one; an event with another number than the next one ends the read,
// since the caller would see a part twice or miss one.
func readEvents(resp *http.Response, call Call, next int, emit func(Event) error) error {
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	number := next
	for scanner.Scan() {
		line := scanner.Bytes()
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
			return errors.Mark(errors.Newf("event %d came in the place of event %d", number, next), ErrIncomplete)
		}
		if err := emitEvent(data, call, emit); err != nil {
			return err
		}
		next++
		number = next
	}
	return errors.Mark(errors.Newf("stream ended early: %v", scanner.Err()), ErrIncomplete)
}

func emitEvent(data []byte, call Call, emit func(Event) error) error {
	var id identity
	if err := json.Unmarshal(data, &id); err != nil {
		return errors.Mark(err, ErrIncomplete)
	}
	if id.ID != call.RequestID {
		return ErrMismatch
	}
	return emit(Event{Data: data, Usage: id.Usage})
}

// Cancel stops the run of an attempt and returns what it used.
func (c *Client) Cancel(ctx context.Context, call Call) (chat.StreamUsage, error) {
	return c.usage(ctx, http.MethodDelete, call, "")
}

// Usage returns what a request used at an engine.
func (c *Client) Usage(ctx context.Context, call Call) (chat.StreamUsage, error) {
	return c.usage(ctx, http.MethodGet, call, "/usage")
}

func (c *Client) usage(ctx context.Context, method string, call Call, suffix string) (chat.StreamUsage, error) {
	resp, err := c.control(ctx, method, call, suffix)
	if err != nil {
		return chat.StreamUsage{}, err
	}
	defer resp.Body.Close()
	body, err := readAnswer(resp)
	if err != nil {
		return chat.StreamUsage{}, err
	}
	var usage chat.StreamUsage
	if err := json.Unmarshal(body, &usage); err != nil {
		return chat.StreamUsage{}, errors.Wrap(err, "decode usage")
	}
	if usage.RequestID != call.RequestID {
		return chat.StreamUsage{}, ErrMismatch
	}
	return usage, nil
}

// control sends a request about a stream. They may all be repeated.
func (c *Client) control(ctx context.Context, method string, call Call, suffix string) (*http.Response, error) {
	target := fmt.Sprintf("%s/v1/streams/%s%s", strings.TrimRight(call.Address, "/"), url.PathEscape(call.RequestID), suffix)
	req, err := newRequest(ctx, method, target, call, nil)
	if err != nil {
		return nil, err
	}
	req.Body, req.ContentLength = http.NoBody, 0
	resp, err := c.do(req)
	if err != nil {
		return nil, err
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return resp, nil
	case http.StatusNotFound, http.StatusConflict:
		err = errors.Mark(errors.Newf("engine answered %s: %s", resp.Status, message(resp)), ErrNotHeld)
	default:
		err = errors.Newf("engine answered %s: %s", resp.Status, message(resp))
	}
	resp.Body.Close()
	return nil, err
}
