// Command 9 sends one request again and again that crashes each server that runs it, to a service of three servers.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	rig "github.com/dotterelthread/dotterelthread/review/rig-2"
)

const (
	host    = "counter.example"
	key     = "a-key-of-the-counter"
	service = "comptoir"
	// contact is contact_ms of the site.
	contact = 3 * time.Second
	// downtime is how long a server that has crashed is down: "some seconds".
	downtime = 3300 * time.Millisecond
	// deadlyPause is the time after which the deadly request comes again, and refusedPause that after a refusal. lookupPause is
	// the time between two ordinary requests.
	deadlyPause  = 1200 * time.Millisecond
	refusedPause = 150 * time.Millisecond
	lookupPause  = 150 * time.Millisecond
	runTime      = 45 * time.Second
	workTime     = 15 * time.Millisecond
	deadlyBody   = "order=4711;tie=silk"
	soundBody    = "order=4712;tie=wool"
	// allowedRetries is the number of later arrivals that the rule allows.
	allowedRetries = 3
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		rig.ServeProcess(serve)
		return
	}
	os.Exit(run())
}

// serve runs a request. One with the deadly body ends the process as soon as it begins to run.
func serve(c net.Conn, id string, r rig.Request) bool {
	if r.Body == deadlyBody {
		fmt.Println("crashed by", r.ID)
		os.Exit(3)
	}
	fmt.Println("runs", r.ID)
	time.Sleep(workTime)
	body := "done " + r.ID
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Dotterelthread-Attempt-Id: %s\r\nX-Dotterelthread-Response-Signature: %s\r\n"+
		"X-Dotterelthread-Instance-Load: 1,0,6\r\nContent-Length: %d\r\n\r\n%s", r.ID, rig.Signature(id, r), len(body), body)
	return err == nil
}

func run() int {
	record, err := rig.NewRecord(filepath.Join(os.Getenv("CASE_DIR"), "record.txt"))
	if err != nil {
		fmt.Println(err)
		return rig.ExitCannot
	}
	d, err := rig.NewDeployment(record, os.Getenv("ROUTER"))
	if err != nil {
		fmt.Println(err)
		return rig.ExitCannot
	}
	defer d.Close()
	var mu sync.Mutex
	var crashes []time.Time
	zones := []string{"plateau", "medina", "ouakam"}
	for i, zone := range zones {
		s := &rig.Server{
			Name: fmt.Sprintf("comptoir%d", i+1), Service: service, Zone: zone, Slots: 6, Downtime: downtime,
			OnLine: func(_ *rig.Server, _, line string) {
				if strings.HasPrefix(line, "crashed by") {
					mu.Lock()
					crashes = append(crashes, time.Now())
					mu.Unlock()
				}
			},
		}
		if err := d.AddServer(s); err != nil {
			fmt.Println(err)
			return rig.ExitCannot
		}
	}
	config := map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{
				"name": "r-order", "host": host, "path_prefix": "/order/", "type": "non_idempotent", "timeout_ms": 1500,
				"target_latency_ms": 100, "priority": 2, "service": service, "max_attempts": 1,
			},
			map[string]any{
				"name": "r-status", "host": host, "path_prefix": "/status/", "type": "idempotent", "timeout_ms": 1500,
				"target_latency_ms": 100, "priority": 2, "service": service, "max_attempts": 2,
			},
		},
		"services": []any{map[string]any{"name": service, "health_path": "/healthz", "max_connections": 96}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "counter", "api_keys": []string{key}}},
	}
	if err := d.Publish(config); err != nil {
		fmt.Println(err)
		return rig.ExitCannot
	}
	if err := d.StartRouters(6, zones); err != nil {
		fmt.Println(err)
		return rig.ExitCannot
	}
	body := deadlyBody
	if !rig.Trouble() {
		body = soundBody
	}
	var clients sync.WaitGroup
	var asked, served int
	clients.Go(func() {
		for i, end := 0, time.Now().Add(runTime); time.Now().Before(end); i++ {
			answer := send(d, record, i, rig.Attempt{ID: fmt.Sprintf("order-%d", i), Method: "POST", Path: "/order/new", Body: body})
			if answer.Status == http.StatusServiceUnavailable {
				time.Sleep(refusedPause)
			} else {
				time.Sleep(deadlyPause)
			}
		}
	})
	clients.Go(func() {
		for i, end := 0, time.Now().Add(runTime); time.Now().Before(end); i++ {
			time.Sleep(lookupPause)
			asked++
			if send(d, record, i, rig.Attempt{ID: fmt.Sprintf("status-%d", i), Method: "GET", Path: fmt.Sprintf("/status/%d", i)}).Status == 200 {
				served++
			}
		}
	})
	clients.Wait()
	time.Sleep(contact)
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, t := range crashes {
		if len(crashes) > 2 && t.After(crashes[2].Add(contact)) {
			late++
		}
	}
	record.Printf("lookups: %d of %d served", served, asked)
	record.Printf("%d crashes; %d of them later than %v after the third", len(crashes), late, contact)
	if served == 0 {
		return rig.ExitCannot
	}
	if late > allowedRetries {
		record.Printf("BUDGET is broken: more than %d retries", allowedRetries)
		return rig.ExitBroken
	}
	return rig.ExitHeld
}

func send(d *rig.Deployment, record *rig.Record, i int, a rig.Attempt) rig.Answer {
	router := d.Routers[i%len(d.Routers)]
	a.Host, a.Key, a.TimeLimit = host, key, 1500*time.Millisecond
	record.Printf("client sends %s to %s", a.ID, router.Name)
	answer := rig.Send(router.Address, a)
	record.Printf("client gets for %s: %v", a.ID, answer)
	return answer
}
