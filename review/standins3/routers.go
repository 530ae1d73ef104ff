// Package standins3 holds the stand-ins of the cases 11 to 15: the platform's store as each machine sees it, workers that
// each machine reaches at an address of its own, and the processes of the system.
package standins3

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// RouterConfig describes one machine.
type RouterConfig struct {
	Name, IP, Zone string
	// Store is the address of the store for this machine.
	Store string
	Seeds []string
	// MemoryMB is the memory limit in the settings.
	MemoryMB int
}

// Ports of every machine. Each machine has an IP address of its own.
const (
	frontendPort  = "8227"
	readinessPort = "8220"
	controlPort   = "8229"
)

// Router is one machine with its process.
type Router struct {
	RouterConfig
	settings string
	log      *os.File
	cmd      *exec.Cmd
	exited   chan struct{}
}

// Frontend is the address for clients.
func (r *Router) Frontend() string { return net.JoinHostPort(r.IP, frontendPort) }

// NewRouter writes the settings of a machine into a folder. command is the program of the deploy file.
func NewRouter(folder string, c RouterConfig) (*Router, error) {
	if c.MemoryMB == 0 {
		c.MemoryMB = 284
	}
	r := &Router{RouterConfig: c, settings: filepath.Join(folder, c.Name+".conf")}
	text := fmt.Sprintf(`node_name=%[1]s
role=router
machine_class=edge
serves=edge,control_plane
ip=%[2]s
zone=%[3]s
region=mu-west
zones.mu-west-a=mu-west
zones.mu-west-b=mu-west
listen.frontend=%[2]s:%[5]s
listen.readiness=%[2]s:%[6]s
listen.control_plane=%[2]s:%[7]s
internal_port_range=7340,7355
seed_nodes=%[8]s
bootstrap=true
counts_as_loss=false
limits.cpu_quota=0.4
limits.cpu_cores=1
limits.memory_limit_mb=%[9]d
limits.max_open_files=4100
limits.link_bandwidth_mbps=1000.0
limits.disk_limit_mb=0
discovery=platform
ingress=virtual_ip
heartbeat_interval_ms=1200
policies=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
fault_tolerance.machines=2
bounds.seed_lag_s=3
bounds.address_reuse_s=2
bounds.contact_ms=3000
bounds.ack_timeout_ms=4000
bounds.catch_up_s=4
bounds.drain_timeout_ms=2000
bounds.grace_period_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_skew_ms=5000
bounds.strict_revocation=false
bounds.revocation_ms=5000
bounds.retry_budget_ratio=0.2
bounds.retry_window_s=10
bounds.retry_min_extra=58
bounds.recovery_s=12
bounds.delivery_lag_ms=120
bounds.retry_after_s=10
bounds.settle_ms=1500
platform.address=%[4]s
platform.form=log
platform.writes_per_s=800
platform.reads_per_s=2000
platform.parts=8
platform.append_latency_ms=4.0
platform.write_mb_s=20.0
platform.read_mb_s=80.0
platform.max_record_bytes=262144
platform.max_request_bytes=2097152
platform.keep_s=300
platform.partition_size_mb=200
platform.min_ttl_ms=1000
`, c.Name, c.IP, c.Zone, c.Store, frontendPort, readinessPort, controlPort, strings.Join(c.Seeds, ","), c.MemoryMB)
	if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	r.log, err = os.Create(filepath.Join(folder, c.Name+".log"))
	return r, err
}

// Control returns the addresses of the control planes of machines, for their settings.
func Control(ips ...string) (out []string) {
	for _, ip := range ips {
		out = append(out, net.JoinHostPort(ip, controlPort))
	}
	return out
}

// Start starts the process with the command of the deploy file. The working folder is the root of the repository.
func (r *Router) Start() error {
	r.cmd = exec.Command("target/dotterelthread", "platform")
	r.cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DOTTERELTHREAD_SETTINGS=" + r.settings,
		"DOTTERELTHREAD_PEER_KEY=dotterelthread-peers-of-one-deployment",
	}
	r.cmd.Stdout, r.cmd.Stderr = r.log, r.log
	// The process ends with the one that has started it.
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return err
	}
	exited, cmd := make(chan struct{}), r.cmd
	r.exited = exited
	go func() {
		_ = cmd.Wait() // the state of the process tells how it ended
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (r *Router) Signal(s syscall.Signal) { _ = r.cmd.Process.Signal(s) }

// Exited is closed when the process has ended.
func (r *Router) Exited() <-chan struct{} { return r.exited }

// Kill ends the process and waits for its end.
func (r *Router) Kill() {
	if r.cmd == nil || r.cmd.Process == nil {
		return
	}
	_ = r.cmd.Process.Kill()
	<-r.exited
}

// Ready reports whether the machine says that it is ready.
func (r *Router) Ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + net.JoinHostPort(r.IP, readinessPort) + "/dotterelthread/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Log returns what the process has written.
func (r *Router) Log() string {
	data, err := os.ReadFile(r.log.Name())
	if err != nil {
		return ""
	}
	return string(bytes.TrimSpace(data))
}

// IPs returns n loopback addresses that hardly any other run uses at the same time.
func IPs(n int) (out []string) {
	pid := os.Getpid()
	for i := range n {
		out = append(out, fmt.Sprintf("127.%d.%d.%d", 20+pid%200, 1+pid/200%250, 1+i))
	}
	return out
}

// RSS returns the memory of the process in bytes, or 0 if it has ended.
func (r *Router) RSS() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", r.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}
