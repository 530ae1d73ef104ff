package upstream

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/standin"
)

const (
	doneEvent = "data: " + chat.DoneMark + "\n\n"
	// rawHead is the head of a response that a faulty upstream writes into a body.
	rawHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
)

// plain returns an event without a number. Its content is k.
func plain(k int) string {
	return fmt.Sprintf("data: {\"id\":\"r1\",\"choices\":[{\"delta\":{\"content\":\"%d\"}}]}\n\n", k)
}

// numbered returns event number n, whose content is n.
func numbered(n int) string { return fmt.Sprintf("id: %d\n%s", n, plain(n)) }

// readStream reads a stream from an upstream that sends the body, and returns the contents of the events. It resumes
// the stream if the offset is not 0.
func readStream(t *testing.T, framing standin.Framing, body string, offset int) (string, error) {
	t.Helper()
	server, err := standin.NewRawServer(func(req *http.Request) (string, bool) {
		head, rawBody := standin.RawResponse(req, framing, "text/event-stream", body)
		return head + rawBody, false
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	var contents strings.Builder
	emit := func(e Event) error {
		_, rest, _ := strings.Cut(string(e.Data), `"content":"`)
		content, _, _ := strings.Cut(rest, `"`)
		contents.WriteString(content)
		return nil
	}
	client, call := New(nil), Call{Address: server.URL(), RequestID: "r1", Attempt: "a1"}
	if offset > 0 {
		err = client.Resume(context.Background(), call, offset, emit)
	} else {
		err = client.Stream(context.Background(), call, emit)
	}
	return contents.String(), err
}

// Guards against events that reach the caller twice, out of order or not at all in a stream that ends as complete, and
// against a whole stream that is taken for a broken one.
func TestEventsFollowEachOther(t *testing.T) {
	const all, framed, unframed = "all", standin.FramingChunks, standin.FramingNone
	for _, c := range []struct {
		name    string
		framing standin.Framing
		offset  int
		body    string
		// want are the contents of the events that may be passed on.
		want  string
		whole bool
	}{
		{"whole", all, 0, numbered(0) + numbered(1) + numbered(2) + doneEvent, "012", true},
		{"whole without spaces", all, 0, strings.ReplaceAll(numbered(0)+numbered(1)+doneEvent, ": ", ":"), "01", true},
		{"whole without numbers", framed, 0, plain(0) + plain(1) + doneEvent, "01", true},
		{"without numbers or end of body", unframed, 0, plain(0) + plain(1) + doneEvent, "", false},
		{"doubled event without number", all, 0, numbered(0) + numbered(1) + plain(1) + numbered(2) + doneEvent, "01", false},
		{"missing event hidden by one without number", all, 0, numbered(0) + plain(2) + doneEvent, "0", false},
		{"second data in one event", all, 0, strings.TrimSuffix(numbered(0), "\n") + plain(0) + numbered(1) + doneEvent, "0", false},
		{"number apart from its event", all, 0, numbered(0) + "id: 1\n\n" + plain(2) + doneEvent, "0", false},
		{"numbers begin late", framed, 0, plain(0) + plain(0) + numbered(2) + doneEvent, "00", false},
		{"begins after the first", all, 0, numbered(1) + doneEvent, "", false},
		{"goes back", all, 0, numbered(0) + numbered(1) + numbered(0) + numbered(2) + doneEvent, "01", false},
		{"doubled", all, 0, numbered(0) + numbered(1) + numbered(1) + numbered(2) + doneEvent, "01", false},
		{"skips", all, 0, numbered(0) + numbered(2) + doneEvent, "0", false},
		{"no number", all, 0, numbered(0) + "id: one\n" + plain(1) + doneEvent, "0", false},
		{"second copy after the end", unframed, 0, numbered(0) + doneEvent + rawHead + numbered(0) + doneEvent, "0", true},
		{"second copy after a part", unframed, 0, numbered(0) + rawHead + numbered(0) + numbered(1) + doneEvent, "0", false},
		{"second copy without numbers", unframed, 0, plain(0) + rawHead + plain(0) + plain(1) + doneEvent, "", false},
		{"ends between two events", all, 0, numbered(0) + numbered(1), "01", false},
		{"ends after a head", all, 0, "", "", false},
		{"end mark cut short", all, 0, numbered(0) + "data: [DONE", "0", false},
		{"end mark cut after its first byte", all, 0, numbered(0) + "data: [", "0", false},
		{"event cut short", all, 0, numbered(0) + strings.TrimSuffix(numbered(1), "]}\n\n"), "0", false},
		{"resumed", all, 1, numbered(1) + numbered(2) + doneEvent, "12", true},
		{"offset ignored", all, 1, numbered(0) + numbered(1) + numbered(2) + doneEvent, "", false},
		{"offset ignored without numbers", all, 1, plain(0) + plain(1) + plain(2) + doneEvent, "", false},
		{"resumed without numbers", all, 1, plain(1) + plain(2) + doneEvent, "", false},
		{"resumed too late", all, 1, numbered(2) + doneEvent, "", false},
		{"resumed, then without number", all, 1, numbered(1) + plain(2) + doneEvent, "1", false},
	} {
		framings := []standin.Framing{c.framing}
		if c.framing == all {
			framings = []standin.Framing{standin.FramingLength, standin.FramingChunks, standin.FramingNone}
		}
		for _, framing := range framings {
			t.Run(c.name+"/"+string(framing), func(t *testing.T) {
				is := is.New(t)
				got, err := readStream(t, framing, c.body, c.offset)
				is.Equal(got, c.want)
				is.Equal(err == nil, c.whole)
				is.True(err == nil || errors.Is(err, ErrIncomplete))
			})
		}
	}
}

// Guards against a completion that is taken for whole with a second response behind it in a body that nothing ends, and
// against bytes of that response that reach the caller.
func TestSecondCopyBehindCompletion(t *testing.T) {
	is := is.New(t)
	const completion = `{"id":"r1","choices":[{"message":{"content":"x"}}]}`
	for body, whole := range map[string]bool{
		completion: true, completion + "\n": true, completion + rawHead + completion: false, completion + completion: false,
	} {
		server, err := standin.NewRawServer(func(req *http.Request) (string, bool) {
			head, rawBody := standin.RawResponse(req, standin.FramingNone, "application/json", body)
			return head + rawBody, false
		})
		is.NoErr(err)
		_, err = New(nil).Complete(context.Background(), Call{Address: server.URL(), RequestID: "r1", Attempt: "a1"})
		server.Close()
		is.Equal(err == nil, whole)
		is.True(whole || errors.Is(err, ErrIncomplete))
	}
}
