// Package rig2 starts a small deployment for the cases of the second review: routers with the command of the deploy
// file, servers as processes of their own, and the platform's store. All of them listen on loopback addresses.
package rig2

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dotterelthread/dotterelthread/platform/standin"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitCannot = 2
)

const (
	// readyWait is how long a router may take to become ready, and settleWait the time after which all know each other.
	readyWait  = 15 * time.Second
	settleWait = 1500 * time.Millisecond
	pollPause  = 20 * time.Millisecond
	readyPath  = "/dotterelthread/readyz"
	// routerKey is the key in the deploy file.
	routerKey = "dotterelthread-peers-of-one-deployment"
)

// Record is the file that a case writes.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, began: time.Now()}, nil
}

// Printf writes a line with the seconds since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Trouble reports whether the disruption of a case shall happen.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Deployment is a small deployment.
type Deployment struct {
	Record *Record
	Store  *standin.Store
	// Router is the path of the router's program.
	Router string
	// Settings are additional lines of the routers' settings.
	Settings []string
	// Network is the second and third part of the routers' addresses.
	Network string
	// Down is true while the store turns all calls away.
	Down atomic.Bool

	// storeAddresses are those of routers whose paths to the servers can be cut.
	storeAddresses map[int]string

	dir          string
	storeAddress string
	Routers      []*Router
	servers      []*Server
	closing      sync.Once
}

// NewDeployment starts the store.
func NewDeployment(record *Record, router string) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{
		Record: record, Store: standin.NewStore(), Router: router, dir: dir,
		Network: fmt.Sprintf("%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeAddress = listener.Addr().String()
	go func() { _ = http.Serve(listener, d.delayed(d.Store)) }()
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ends
		d.Close()
		os.Exit(ExitCannot)
	}()
	return d, nil
}

// appendTime is the time of an append in a partition, and callTime that of another call.
const (
	appendTime = 4 * time.Millisecond
	callTime   = time.Millisecond
)

func (d *Deployment) delayed(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "log-append") {
			time.Sleep(appendTime)
		} else {
			time.Sleep(callTime)
		}
		store.ServeHTTP(w, r)
	})
}

// Publish writes a configuration.
func (d *Deployment) Publish(config map[string]any) error {
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	d.Store.Put("op", "config", data)
	d.Record.Printf("operator writes version %v", config["version"])
	return nil
}

// Router is a router process.
type Router struct {
	Name, Address string

	ready, settings string
	d               *Deployment
	cmd             *exec.Cmd
	exited          chan struct{}
}

// OwnPaths gives the router with an index paths of its own to the servers that have been added, which can be cut. Their entries do
// not change then. It is called before StartRouters.
func (d *Deployment) OwnPaths(router int) (*standin.Uplinks, error) {
	paths := standin.NewUplinks(d.Store, "127.0.0.1")
	for _, s := range d.servers {
		s.mu.Lock()
		id := s.id
		s.mu.Unlock()
		entry, err := s.entry(time.Now())
		if err != nil {
			return nil, err
		}
		if err := paths.Add(id, entry); err != nil {
			return nil, err
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if d.storeAddresses == nil {
		d.storeAddresses = make(map[int]string)
	}
	d.storeAddresses[router] = listener.Addr().String()
	go func() { _ = http.Serve(listener, d.delayed(d.whileUp(paths))) }()
	return paths, nil
}

// whileUp passes calls to the store itself while it is down.
func (d *Deployment) whileUp(paths http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.Down.Load() {
			d.Store.ServeHTTP(w, r)
			return
		}
		paths.ServeHTTP(w, r)
	})
}

// SetDown takes the store down, so that it turns all calls away, or up again.
func (d *Deployment) SetDown(down bool) {
	d.Down.Store(down)
	if down {
		d.Store.SetFaults(standin.Faults{DownStatus: http.StatusServiceUnavailable})
	} else {
		d.Store.SetFaults(standin.Faults{})
	}
}

// StartRouters starts routers and waits until they are ready and know each other.
func (d *Deployment) StartRouters(n int, zones []string) error {
	var seeds []string
	for i := range n {
		ip := fmt.Sprintf("127.%s.%d", d.Network, i+1)
		free, err := standin.FreeAddresses(ip, 3)
		if err != nil {
			return err
		}
		zone, store := zones[i%len(zones)], d.storeAddress
		if own, ok := d.storeAddresses[i]; ok {
			store = own
		}
		r := &Router{
			Name: fmt.Sprintf("edge-%s-%d", zone, i+1), Address: free[0], ready: free[1], d: d,
			settings: filepath.Join(d.dir, fmt.Sprintf("router-%d.conf", i+1)),
		}
		if len(seeds) < 3 {
			seeds = append(seeds, free[2])
		}
		lines := []string{
			"node_name=" + r.Name, "role=router", "machine_class=edge", "serves=edge,control_plane", "ip=" + ip, "zone=" + zone,
			"region=r1", "listen.frontend=" + free[0], "listen.readiness=" + free[1], "listen.control_plane=" + free[2],
			"internal_port_range=7340,7355", "bootstrap=true", "limits.cpu_quota=0.4", "limits.cpu_cores=1",
			"limits.memory_limit_mb=284", "limits.max_open_files=4100", "limits.link_bandwidth_mbps=1000.0", "discovery=platform",
			"ingress=virtual_ip", "heartbeat_interval_ms=1200", "bounds.contact_ms=3000", "bounds.drain_timeout_ms=2000",
			"bounds.grace_period_s=8", "bounds.config_apply_ms=2000", "bounds.retry_budget_ratio=0.2", "bounds.retry_window_s=10",
			"bounds.retry_min_extra=58", "platform.address=" + store, "platform.form=log", "platform.writes_per_s=800",
			"platform.reads_per_s=2000", "platform.parts=8",
		}
		for _, z := range zones {
			lines = append(lines, "zones."+z+"=r1")
		}
		lines = append(lines, d.Settings...)
		lines = append(lines, "seed_nodes="+strings.Join(seeds, ","))
		if err := os.WriteFile(r.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			return err
		}
		d.Routers = append(d.Routers, r)
	}
	for _, r := range d.Routers {
		if err := r.Start(); err != nil {
			return err
		}
	}
	for _, r := range d.Routers {
		if err := r.waitReady(); err != nil {
			return err
		}
	}
	time.Sleep(settleWait)
	return nil
}

// Start starts the process.
func (r *Router) Start() error {
	log, err := os.OpenFile(r.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	r.cmd = exec.Command(r.d.Router, "platform")
	r.cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DOTTERELTHREAD_SETTINGS=" + r.settings,
		"DOTTERELTHREAD_PEER_KEY=" + routerKey,
	}
	r.cmd.Stdout, r.cmd.Stderr = log, log
	if err := r.cmd.Start(); err != nil {
		return err
	}
	r.d.Record.Printf("%s starts", r.Name)
	cmd, exited := r.cmd, make(chan struct{})
	r.exited = exited
	go func() {
		_ = cmd.Wait() // the error of a killed process is its signal
		close(exited)
	}()
	return nil
}

func (r *Router) waitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(pollPause) {
		resp, err := client.Get("http://" + r.ready + readyPath)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", r.Name)
}

// Close ends all processes and removes the files, unless KEEP is set.
func (d *Deployment) Close() { d.closing.Do(d.close) }

func (d *Deployment) close() {
	for _, s := range d.servers {
		s.stop()
	}
	for _, r := range d.Routers {
		if r.cmd != nil && r.cmd.Process != nil {
			_ = r.cmd.Process.Kill() // it may have ended
			<-r.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept", d.dir)
	}
}

// Kill kills the process, which does not come back.
func (r *Router) Kill() {
	r.d.Record.Printf("%s is killed", r.Name)
	_ = r.cmd.Process.Kill() // it may have ended
	<-r.exited
}

// Ready asks the process whether it is ready, as the platform does.
func (r *Router) Ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + r.ready + readyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
