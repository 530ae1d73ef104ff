// Package rig runs a small deployment for the scripts of the review: router processes, a store, servers and clients on
// loopback addresses. The router processes are the program of deploy/system.toml with a settings file as
// DEPLOY.md shows it; the store is the project's stand-in; servers and clients run in the process of the script.
package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/dotterelthread/dotterelthread/platform/standin"
)

// Exit statuses of a script.
const (
	Held     = 0
	Broken   = 1
	CannotDo = 2
)

// Values that all cases share.
const (
	Host   = "shop.example"
	Key    = "n2ctnfzs989anu6wsjnb"
	Tenant = "setters"
	Zone   = "mu-west-a"
	// Reserved is far more than a script uses.
	Reserved = 100_000_000
	// Contact, DrainTimeout and BeatInterval are contact_ms, drain_timeout_ms and heartbeat_interval_ms of the site.
	Contact      = 3000 * time.Millisecond
	DrainTimeout = 2000 * time.Millisecond
	BeatInterval = 1200 * time.Millisecond
)

// Rig is one deployment and the record of what happened in it.
type Rig struct {
	Store   *standin.Store
	Routers []*Router

	start  time.Time
	dir    string
	binary string

	mu     sync.Mutex
	record *os.File
	closed []func()
}

// New starts a rig whose record is written to record.txt in the folder of the case. The first argument of the script is
// that folder.
func New() (*Rig, error) {
	if len(os.Args) < 2 {
		return nil, fmt.Errorf("usage: %s FOLDER", os.Args[0])
	}
	binary, err := filepath.Abs(filepath.Join(os.Args[1], "..", "..", "target", "dotterelthread"))
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("build target/dotterelthread first: %w", err)
	}
	record, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &Rig{Store: standin.NewStore(), start: time.Now(), dir: dir, binary: binary, record: record}, nil
}

// Trouble reports whether the script runs with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Since is the time since the start of the rig.
func (r *Rig) Since() time.Duration { return time.Since(r.start) }

// Logf writes a line with the time since the start to the record.
func (r *Rig) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f  %s\n", r.Since().Seconds(), fmt.Sprintf(format, args...))
}

// Defer adds a function that Close calls.
func (r *Rig) Defer(f func()) { r.closed = append(r.closed, f) }

// Close ends all processes and listeners of the rig.
func (r *Rig) Close() {
	for _, router := range r.Routers {
		router.kill()
	}
	for _, f := range r.closed {
		f()
	}
	_ = r.record.Close()
	_ = os.RemoveAll(r.dir)
}

// Main runs a case and exits with its status.
func Main(run func(*Rig) (int, error)) {
	r, err := New()
	if err != nil {
		fmt.Println(err)
		os.Exit(CannotDo)
	}
	status, err := run(r)
	if err != nil {
		r.Logf("the case could not run: %v", err)
		fmt.Println(err)
		status = CannotDo
	}
	r.Logf("exit status %d", status)
	r.Close()
	os.Exit(status)
}

// Route is a route of the configuration.
func Route(name, kind, service string, attempts int, timeout, target time.Duration, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": Host, "path_prefix": "/" + name + "/", "type": kind, "service": service, "max_attempts": attempts,
		"timeout_ms": timeout.Milliseconds(), "target_latency_ms": target.Milliseconds(), "priority": 0, "public": false,
		"resumable": resumable, "sticky": kind == "streaming", "target_itl_ms": 500,
	}
}

// Publish writes a configuration with one tenant, as the operator does.
func (r *Rig) Publish(version int, routes []map[string]any) error {
	return r.PublishFor(version, routes, []any{
		map[string]any{"name": Tenant, "api_keys": []string{Key}, "priority": 1, "reserved": Reserved},
	})
}

// PublishFor writes a configuration with the given tenants.
func (r *Rig) PublishFor(version int, routes []map[string]any, tenants []any) error {
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{
				"name": "setter-llm", "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
				"runtime": map[string]any{"slots": 64, "kv_capacity": 513916, "stride": 7, "models": []any{map[string]any{"name": "m"}}},
			},
			map[string]any{"name": "shop-app", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": tenants,
	})
	if err != nil {
		return err
	}
	r.Store.Put("op", "config", data)
	r.Logf("operator: configuration %d acknowledged by the store", version)
	return nil
}

// Router is one machine of the system.
type Router struct {
	Name, IP string

	rig      *Rig
	link     *standin.Proxy
	front    string
	ready    string
	settings string
	log      *os.File
	cmd      *exec.Cmd
	exited   chan struct{}
}

// AddRouters starts machines with one process each. All of them know the same seeds.
func (r *Rig) AddRouters(n int) error {
	seeds := make([]string, 0, n)
	ports := make([][]string, 0, n)
	base := 1 + os.Getpid()%200
	for i := range n {
		ip := fmt.Sprintf("127.%d.%d.%d", 60+os.Getpid()/200%100, base, i+10)
		free, err := standin.FreeAddresses(ip, 3)
		if err != nil {
			return err
		}
		ports = append(ports, free)
		seeds = append(seeds, free[2])
	}
	for i := range n {
		ip, _, err := net.SplitHostPort(ports[i][0])
		if err != nil {
			return err
		}
		router := &Router{Name: fmt.Sprintf("edge-%s-%d", Zone, i+1), IP: ip, rig: r, front: ports[i][0], ready: ports[i][1]}
		store, err := r.storeFor(router)
		if err != nil {
			return err
		}
		router.settings = filepath.Join(r.dir, router.Name+".conf")
		text := strings.Join([]string{
			"node_name=" + router.Name, "role=router", "machine_class=edge", "serves=edge,control_plane", "ip=" + ip,
			"zone=" + Zone, "region=mu-west", "zones." + Zone + "=mu-west", "listen.frontend=" + ports[i][0],
			"listen.readiness=" + ports[i][1], "listen.control_plane=" + ports[i][2], "internal_port_range=7340,7355",
			"seed_nodes=" + strings.Join(seeds[:min(3, n)], ","), "bootstrap=true", "counts_as_loss=false",
			"limits.cpu_quota=0.4", "limits.cpu_cores=1", "limits.memory_limit_mb=284", "limits.max_open_files=4100",
			"limits.link_bandwidth_mbps=1000.0", "limits.disk_limit_mb=0", "discovery=platform", "ingress=virtual_ip",
			"heartbeat_interval_ms=1200", "fault_tolerance.machines=2", "bounds.seed_lag_s=3", "bounds.address_reuse_s=2",
			"bounds.contact_ms=3000", "bounds.ack_timeout_ms=4000", "bounds.catch_up_s=4", "bounds.drain_timeout_ms=2000",
			"bounds.grace_period_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000",
			"bounds.rollback_slack_ms=250", "bounds.max_skew_ms=5000", "bounds.retry_budget_ratio=0.2",
			"bounds.retry_window_s=10", "bounds.retry_min_extra=58", "bounds.recovery_s=12", "platform.address=" + store,
			"platform.form=log", "platform.writes_per_s=800", "platform.reads_per_s=2000", "platform.parts=8",
			"platform.keep_s=300", "",
		}, "\n")
		if err := os.WriteFile(router.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if router.log, err = os.Create(filepath.Join(r.dir, router.Name+".log")); err != nil {
			return err
		}
		r.Routers = append(r.Routers, router)
		if err := router.Start(); err != nil {
			return err
		}
	}
	return r.waitReady()
}

// storeFor returns the address at which a machine reaches the store: a proxy, so that the path can be cut.
func (r *Rig) storeFor(router *Router) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: r.Store}
	go func() { _ = server.Serve(l) }()
	r.Defer(func() { _ = server.Close() })
	if router.link, err = standin.NewProxy("127.0.0.1", l.Addr().String(), nil); err != nil {
		return "", err
	}
	r.Defer(router.link.Close)
	return router.link.Address(), nil
}

// CutFromStore partitions the machine from the store, silently and in both directions, for the given time.
func (m *Router) CutFromStore(d time.Duration) {
	m.link.StallIn.Store(true)
	m.link.StallOut.Store(true)
	m.rig.Logf("%s is partitioned from the store for %s", m.Name, d)
	time.AfterFunc(d, func() {
		m.link.ClearFaults()
		m.rig.Logf("%s has its path to the store again", m.Name)
	})
}

// Start starts the process of the machine.
func (m *Router) Start() error {
	m.cmd = exec.Command(m.rig.binary, "platform")
	m.cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DOTTERELTHREAD_SETTINGS=" + m.settings,
		"DOTTERELTHREAD_PEER_KEY=dotterelthread-peers-of-one-deployment",
	}
	m.cmd.Stdout, m.cmd.Stderr = m.log, m.log
	if err := m.cmd.Start(); err != nil {
		return err
	}
	cmd, exited := m.cmd, make(chan struct{})
	m.exited = exited
	go func() {
		_ = cmd.Wait() // the error of a killed process is its signal
		close(exited)
	}()
	m.rig.Logf("%s: process started", m.Name)
	return nil
}

// Signal sends a signal to the process of the machine.
func (m *Router) Signal(s syscall.Signal) { _ = m.cmd.Process.Signal(s) }

// Pid is the ID of the process of the machine.
func (m *Router) Pid() int { return m.cmd.Process.Pid }

// Kill ends the process of the machine with SIGKILL.
func (m *Router) Kill() {
	m.Signal(syscall.SIGKILL)
	<-m.exited
	m.rig.Logf("%s: process killed", m.Name)
}

func (m *Router) kill() {
	if m.cmd == nil || m.cmd.Process == nil {
		return
	}
	_ = m.cmd.Process.Kill()
	<-m.exited
	_ = m.log.Close()
	if to := os.Getenv("KEEP_LOGS"); to != "" {
		if data, err := os.ReadFile(m.log.Name()); err == nil {
			_ = os.WriteFile(filepath.Join(to, m.Name+".log"), data, 0o600)
		}
	}
}

// URL is the address of the machine for clients.
func (m *Router) URL() string { return "http://" + m.front }

// Front is the address of the machine for clients, without a scheme.
func (m *Router) Front() string { return m.front }

// Ready reports whether the machine says that it is ready.
func (m *Router) Ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.ready + "/dotterelthread/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *Rig) waitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, m := range r.Routers {
		for !m.Ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	r.Logf("all machines are ready")
	return nil
}
