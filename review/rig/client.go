package rig

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Answer is what a client has read.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Err is nil if the response was complete.
	Err error
}

var attempts atomic.Int64

// NewAttempt returns a new ID of a client attempt.
func NewAttempt() string { return fmt.Sprintf("%016x", time.Now().UnixNano()^attempts.Add(1)<<48) }

// Send sends one client attempt on a new connection and reads the whole response.
func Send(m *Router, method, path, body, id string, timeout time.Duration, header map[string]string) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, m.URL()+path, strings.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Host = Host
	req.Header.Set("Authorization", "Bearer "+Key)
	req.Header.Set("X-Dotterelthread-Attempt-Id", id)
	req.Header.Set("X-Dotterelthread-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	// Proper clients of the bench send no such header; the worker's record names the machine by it.
	req.Header.Set("Via-Router", m.Name)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(data), Err: err}
}

// Prompt returns the headers of a request for a model.
func Prompt(input, output int, prefix string) map[string]string {
	return map[string]string{
		"X-Dotterelthread-Model": "m", "X-Dotterelthread-Token-Usage": fmt.Sprintf("%d,%d", input, output),
		"X-Dotterelthread-Prompt-Prefix": prefix,
	}
}

// Event is one event of a stream.
type Event struct{ ID, Data string }

// Events splits a stream into its events. rest is what is no event.
func Events(body string) (events []Event, rest string) {
	r := bufio.NewReader(strings.NewReader(body))
	var e Event
	var lines strings.Builder
	for {
		line, err := r.ReadString('\n')
		lines.WriteString(line)
		text := strings.TrimRight(line, "\r\n")
		switch name, value, ok := strings.Cut(text, ":"); {
		case errors.Is(err, io.EOF):
			return events, lines.String()
		case text == "" && e.ID != "":
			events = append(events, e)
			e = Event{}
			lines.Reset()
		case ok && name == "id":
			e.ID = strings.TrimSpace(value)
		case ok && name == "data":
			e.Data = strings.TrimSpace(value)
		}
	}
}
