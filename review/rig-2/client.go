package rig2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Answer is what a client got for one attempt.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Whole is true if the answer ended as a complete one.
	Whole bool
	// Close is true if the answer is the last one of its connection.
	Close bool
	Err   error
}

// String describes the answer.
func (a Answer) String() string {
	if a.Status == 0 {
		return fmt.Sprintf("no answer (%v)", a.Err)
	}
	return fmt.Sprintf("%d, %d bytes, signature %q, complete %v", a.Status, len(a.Body), a.Header.Get("X-Dotterelthread-Response-Signature"), a.Whole)
}

// Attempt is a request of a client.
type Attempt struct {
	ID, Method, Host, Path, Key, Body string
	Header                            []string
	TimeLimit                         time.Duration
}

// Send sends an attempt on a new connection and reads the answer as HTTP demands: by its length, its chunks, or to the end
// of the connection.
func Send(address string, a Attempt) Answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(a.TimeLimit + time.Second))
	return Exchange(c, bufio.NewReader(c), a)
}

// Exchange sends an attempt on an open connection and reads the answer.
func Exchange(c net.Conn, reader *bufio.Reader, a Attempt) Answer {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Dotterelthread-Attempt-Id: %s\r\nX-Dotterelthread-Deadline-Ms: %d\r\n",
		a.Method, a.Path, a.Host, a.ID, a.TimeLimit.Milliseconds())
	if a.Key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", a.Key)
	}
	for _, line := range a.Header {
		b.WriteString(line + "\r\n")
	}
	if a.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.Body))
	}
	b.WriteString("\r\n" + a.Body)
	if _, err := io.WriteString(c, b.String()); err != nil {
		return Answer{Err: err}
	}
	resp, err := http.ReadResponse(reader, &http.Request{Method: a.Method})
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Whole: err == nil, Close: resp.Close, Err: err}
}
