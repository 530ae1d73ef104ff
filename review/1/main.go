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
	requests = 800
	// atOnce is the number of requests that are open at the same time.
	atOnce = 20
	// Of the servers, one in seven (0.14) fails 9 of 20 (0.45) of the runs that resume a stream and no others, and four in
	// seven (0.57) lose 2 of 5 of their answers (0.4).
	servers          = 7
	failing          = 1
	failed, failedOf = 9, 20
	losing           = 4
	lost, lostOf     = 2, 5
)

func main() { rig.Main(run) }

func run(r *rig.Rig) (int, error) {
	var mu sync.Mutex
	runs := make(map[string]int)
	handler := func(w *rig.Worker, c *rig.Call) {
		first, _ := strconv.Atoi(c.Req.Header.Get("Last-Event-Id"))
		var number int
		_, _ = fmt.Sscanf(w.ID(), "i-%d", &number)
		kind := fmt.Sprint(w.ID(), first > 0)
		mu.Lock()
		n := runs[kind]
		runs[kind]++
		mu.Unlock()
		fail := rig.Trouble() && number <= failing && first > 0 && n%2 == 0 && n%failedOf < 2*failed
		cut := rig.Trouble() && number > failing && number <= failing+losing && n%lostOf < lost && first < cutAfter
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
	for i := range servers {
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
	broken, whole, cutOff, refused := 0, 0, 0, 0
	var open sync.WaitGroup
	slots := make(chan struct{}, atOnce)
	for n := range requests {
		m := r.Routers[n%len(r.Routers)]
		slots <- struct{}{}
		open.Go(func() {
			defer func() { <-slots }()
			id := rig.NewAttempt()
			// Each request has a session of its own, so that the requests spread over the servers.
			prompt := rig.Prompt(6610, 400, fmt.Sprintf("5c1e07a2:512,%08x:4870,%08x:1228", n, n+requests))
			answer := rig.Send(m, http.MethodPost, "/blade-history/review", "review", id, 12*time.Second, prompt)
			got, rest := rig.Events(answer.Body)
			r.Logf("client at %s: %s answered %d, %d of %d events, then %q, end of stream: %v", m.Name, id, answer.Status, len(got), events, rest, answer.Err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case answer.Err != nil:
				cutOff++
			case answer.Status != http.StatusOK:
				refused++
			case len(got) < events || strings.TrimSpace(rest) != "":
				broken++
			default:
				whole++
			}
		})
	}
	open.Wait()
	r.Logf("%d other statuses", refused)
	r.Logf("%d streams whole, %d broken off, %d that ended as complete before their last event", whole, cutOff, broken)
	fmt.Printf("%d streams whole, %d broken off, %d that ended as complete before their last event\n", whole, cutOff, broken)
	if broken > 0 {
		return rig.Broken, nil
	}
	return rig.Held, nil
}
