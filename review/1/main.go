// Command 1 shows that a stream ends as complete in its middle, with the body of a failure in place of the missing events,
// if the server at which it is resumed fails the request with a 4xx status.
package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dotterelthread/dotterelthread/review/rig"
)

const (
	events     = 12
	eventEvery = 25 * time.Millisecond
	// cutAfter is the number of events after which a server loses the connection of a stream.
	cutAfter = 5
	requests = 40
	// cutEvery makes one stream in so many lose its connection; one resumed run in failEvery fails.
	cutEvery  = 3
	failEvery = 2
)

func main() { rig.Main(run) }

func run(r *rig.Rig) (int, error) {
	var mu sync.Mutex
	streams, resumed := 0, 0
	handler := func(w *rig.Worker, c *rig.Call) {
		first, _ := strconv.Atoi(c.Req.Header.Get("Last-Event-Id"))
		mu.Lock()
		cut, fail := false, false
		if first == 0 {
			streams++
			cut = rig.Trouble() && streams%cutEvery == 0
		} else {
			resumed++
			fail = rig.Trouble() && resumed%failEvery == 0
		}
		mu.Unlock()
		r.Logf("server %s runs %s after event %d", w.ID(), c.ID, first)
		w.Begin(c)
		if fail {
			r.Logf("server %s fails %s with status 400", w.ID(), c.ID)
			c.W.WriteHeader(http.StatusBadRequest)
			_, _ = fmt.Fprint(c.W, "the run cannot go on here\n")
			return
		}
		c.W.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(c.W)
		for i := first + 1; i <= events; i++ {
			time.Sleep(eventEvery)
			if cut && i > cutAfter {
				r.Logf("server %s loses the connection of %s after event %d", w.ID(), c.ID, i-1)
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(c.W, "id: %d\ndata: %s %d\n\n", i, c.ID, i)
			if control.Flush() != nil {
				return
			}
		}
	}
	for i := range 4 {
		if _, err := r.AddWorker(fmt.Sprintf("i-%d", i+1), "setter-llm", handler); err != nil {
			return 0, err
		}
	}
	if err := r.Publish(7, []map[string]any{
		rig.Route("blade-history", "streaming", "setter-llm", 2, 12*time.Second, time.Second, true),
	}); err != nil {
		return 0, err
	}
	if err := r.AddRouters(2); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	broken, whole, cutOff := 0, 0, 0
	for n := range requests {
		m := r.Routers[n%len(r.Routers)]
		id := rig.NewAttempt()
		answer := rig.Send(m, http.MethodPost, "/blade-history/review", "review", id, 12*time.Second, rig.Prompt(6610, 400, "5c1e07a2:512,91bd3f06:4870,e4402b7d:1228"))
		got, rest := rig.Events(answer.Body)
		r.Logf("client at %s: %s answered %d, %d of %d events, then %q, end of stream: %v", m.Name, id, answer.Status, len(got), events, rest, answer.Err)
		switch {
		case answer.Err != nil:
			cutOff++
		case answer.Status != http.StatusOK:
		case len(got) < events || strings.TrimSpace(rest) != "":
			broken++
		default:
			whole++
		}
	}
	r.Logf("%d streams whole, %d broken off, %d that ended as complete before their last event", whole, cutOff, broken)
	fmt.Printf("%d streams whole, %d broken off, %d that ended as complete before their last event\n", whole, cutOff, broken)
	if broken > 0 {
		return rig.Broken, nil
	}
	return rig.Held, nil
}
