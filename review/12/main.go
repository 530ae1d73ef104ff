// Command 12 shows that a tenant gets more tokens than its reserved total after the restart of a process, see claim.txt.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/dotterelthread/dotterelthread/review/standins3"
)

const (
	machines = 6
	// hit is the machine that takes the tenant's requests and is disturbed.
	hit       = 0
	host, key = "ficu95.example", "n2ctnfzs989anu6wsjnb"
	// timeLimit is that of kerf-check on the sheet, and tokensPerEvent the stride of the engines.
	timeLimit      = 3 * time.Second
	tokensPerEvent = 7
	reserved       = 1_740_000
	// The tenant sends usualRate requests a second with usualPrompt tokens each, and hotFactor times as many later.
	usualRate, usualPrompt, hotFactor = 50, 1000, 3
	usualTime                         = 13 * time.Second
	// busyTime is how long the store answers the machine 503, and silentTime how long it does not answer it after that.
	busyTime, silentTime = 2300 * time.Millisecond, 2200 * time.Millisecond
	restartDelay         = 50 * time.Millisecond
)

func config() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-check", "host": host, "path_prefix": "/check/", "type": "streaming", "timeout_ms": timeLimit.Milliseconds(),
			"target_latency_ms": 500, "priority": 2, "service": "setter", "max_attempts": 1, "public": false, "sticky": true, "resumable": false,
		}},
		"services": []any{map[string]any{
			"name": "setter", "health_path": "/healthz", "max_connections": 600, "protocol": "h1", "tls": false,
			"runtime": map[string]any{"slots": 64, "kv_capacity": 513916, "stride": tokensPerEvent, "models": []any{map[string]any{"name": "m"}}},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 1, "reserved": reserved}},
	}
}

// usage is what the tenant has consumed: the prompts of the requests that have run, each once, and the events that have
// reached clients.
type usage struct {
	mu       sync.Mutex
	input    map[string]int64
	output   int64
	statuses map[int]int
}

func (u *usage) ran(run standins3.Run) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.input[run.ID] = run.Input
}

func (u *usage) delivered(a standins3.Answer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.output += int64(strings.Count(a.Body, "\n\n")) * tokensPerEvent
	u.statuses[a.Status]++
}

func (u *usage) total() (tokens int64, text string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	input := int64(0)
	for _, n := range u.input {
		input += n
	}
	tokens = input + u.output
	return tokens, fmt.Sprintf("%d requests have run with %d prompt tokens, and %d output tokens were delivered: %d of %d reserved tokens; statuses %v",
		len(u.input), input, u.output, tokens, reserved, u.statuses)
}

// fleet is what the steps of the case share.
type fleet struct {
	*standins3.Fleet
	client *standins3.Client
	used   *usage
	record *standins3.Record
	open   sync.WaitGroup
}

// send sends a request with a prompt to a machine and returns its status.
func (f *fleet) send(machine int, prompt int64) int {
	headers := fmt.Sprintf("X-Dotterelthread-Model: m\r\nX-Dotterelthread-Token-Usage: %d,%d\r\n", prompt, tokensPerEvent)
	a := f.client.Do(f.Routers[machine].Frontend(), "POST", "/check/1", headers, "x", timeLimit)
	f.used.delivered(a)
	return a.Status
}

// load sends requests at a rate for a time, whether or not earlier ones are answered.
func (f *fleet) load(perSecond int, duration time.Duration) {
	for range int(duration.Seconds() * float64(perSecond)) {
		f.open.Go(func() { f.send(hit, usualPrompt) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

func (f *fleet) note(step string) {
	_, text := f.used.total()
	f.record.Line("%s: %s", step, text)
}

func main() {
	broken, err := check(os.Args[1], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

func check(folder string, trouble bool) (broken bool, err error) {
	record, err := standins3.NewRecord(folder + "/record.txt")
	if err != nil {
		return false, err
	}
	defer record.Close()
	temp, err := os.MkdirTemp("", "case12-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(temp)
	started, err := standins3.StartFleet(temp, machines)
	if err != nil {
		return false, err
	}
	defer started.Close()
	f := &fleet{
		Fleet: started, client: &standins3.Client{Host: host, Key: key, Prefix: "a"}, record: record,
		used: &usage{input: make(map[string]int64), statuses: make(map[int]int)},
	}
	for i := range 4 {
		w, err := f.AddWorker(fmt.Sprintf("i-setter-%d", i), "setter", f.used.ran)
		if err != nil {
			return false, err
		}
		w.TokensPerEvent = tokensPerEvent
		w.SetFirstEvent(10 * time.Millisecond)
	}
	if _, err := f.Store.PutConfig(config()); err != nil {
		return false, err
	}
	if err := f.StartRouters(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // the machines learn of one another
	f.load(usualRate, usualTime)
	f.note("after the usual load")
	if trouble {
		if err := f.disturb(); err != nil {
			return false, err
		}
	} else {
		f.load(usualRate, busyTime+silentTime)
	}
	f.open.Wait()
	f.note("after the disruptions")
	time.Sleep(2 * time.Second)
	f.useUp()
	tokens, text := f.used.total()
	record.Line("%s", text)
	fmt.Println(text)
	return tokens > reserved, nil
}

// disturb lets the store turn the machine away while the tenant sends more, and kills its process.
func (f *fleet) disturb() error {
	f.record.Line("disruption: the tenant sends %d times its usual; the store answers machine %d with 503", hotFactor, hit)
	f.Views[hit].SetBusy(true)
	f.load(usualRate*hotFactor, busyTime)
	f.note("at the end of that")
	f.record.Line("disruption: the store does not answer machine %d", hit)
	f.Views[hit].SetSilent(true)
	f.load(usualRate*hotFactor, silentTime)
	f.note("at the end of that")
	f.record.Line("disruption: the process of machine %d is killed; the store serves the machine again", hit)
	f.Routers[hit].Signal(syscall.SIGKILL)
	<-f.Routers[hit].Exited()
	f.Views[hit].SetBusy(false)
	time.Sleep(restartDelay)
	if err := f.Routers[hit].Start(); err != nil {
		return err
	}
	f.record.Line("the process of machine %d is started again", hit)
	return nil
}

// useUp sends requests to all machines until the budget covers none any more.
func (f *fleet) useUp() {
	for _, prompt := range []int64{20_000, 3000, 400, 50, 5} {
		refused := 0
		for i, end := 0, time.Now().Add(10*time.Second); refused < 3*machines && time.Now().Before(end); i++ {
			if f.send(i%machines, prompt) == 200 {
				refused = 0
			} else {
				refused++
				time.Sleep(50 * time.Millisecond)
			}
		}
		f.note(fmt.Sprintf("after requests with %d prompt tokens", prompt))
	}
}
