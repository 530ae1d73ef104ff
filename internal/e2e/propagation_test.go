package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/dotterelthread/dotterelthread/internal/coordination/configsync"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/standin"
	"github.com/dotterelthread/dotterelthread/internal/transport/logclient"
)

// measureEnvVar enables the measurement. It takes about a minute and its times are meaningless on a busy
// machine, so it is not part of the regular tests. The name lacks the prefix of the settings, because routers
// refuse unknown settings.
const measureEnvVar = "MEASURE_PROPAGATION"

const (
	propagationUpdates = 10
	// propagationTarget is the time in which a configuration update has to be active on every router.
	propagationTarget = 4 * time.Second
	idleMeasurement   = 5 * time.Second
	// clockTicksPerSecond is the unit of processor time in /proc on Linux.
	clockTicksPerSecond = 100
)

// TestMeasurePropagation reports how long a configuration update takes until it is active on every router,
// relative to the target, and the resource usage of an idle router. It guards against an update that does not
// reach all routers when the log responds slowly.
func TestMeasurePropagation(t *testing.T) {
	if os.Getenv(measureEnvVar) == "" {
		t.Skip("set " + measureEnvVar + "=1 to measure")
	}
	for _, delay := range []time.Duration{0, 500 * time.Millisecond} {
		for _, n := range []int{3, 6, 9} {
			t.Run(fmt.Sprintf("delay=%s/routers=%d", delay, n), func(t *testing.T) { measurePropagation(t, n, delay) })
		}
	}
}

func measurePropagation(t *testing.T, n int, delay time.Duration) {
	is := is.New(t)
	logURL, engineURL := startStandin(t, "log"), startStandin(t, "engine")
	publishEngines(t, logURL, engineURL)
	f := startFleet(t, n, logURL, "--flush-interval", "500ms")
	setLogFaults(t, logURL, standin.LogFaults{Delay: delay})
	log := logclient.New(logURL)
	var durations []time.Duration
	for i := range propagationUpdates {
		data, err := json.Marshal(configsync.Update{ID: fmt.Sprint("m", i), Base: uint64(i + 1)})
		is.NoErr(err)
		start := time.Now()
		_, err = log.Append(context.Background(), record.ConfigStream, data)
		is.NoErr(err)
		durations = append(durations, f.waitForVersion(t, uint64(i+2), start))
	}
	slices.Sort(durations)
	t.Logf("time from the append until active on every router, relative to the target: median %.3f, largest %.3f",
		durations[len(durations)/2].Seconds()/propagationTarget.Seconds(),
		durations[len(durations)-1].Seconds()/propagationTarget.Seconds())
	f.logIdleUsage(t)
}

// waitForVersion returns the time from start until every router has the version.
func (f *fleet) waitForVersion(t *testing.T, version uint64, start time.Time) time.Duration {
	t.Helper()
	var longest atomic.Int64
	var waits conc.WaitGroup
	for _, r := range f.routers {
		waits.Go(func() {
			for time.Since(start) < 20*time.Second {
				if adminValue(r.admin+"/admin/status", "config_version") >= float64(version) {
					elapsed := int64(time.Since(start))
					for old := longest.Load(); old < elapsed && !longest.CompareAndSwap(old, elapsed); old = longest.Load() {
					}
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
			t.Errorf("version %d is not active on %s", version, r.admin)
		})
	}
	waits.Wait()
	return time.Duration(longest.Load())
}

// adminValue returns a number from the JSON response of an admin endpoint, or -1 if it cannot be read.
func adminValue(url, key string) float64 {
	resp, err := http.Get(url)
	if err != nil {
		return -1
	}
	defer resp.Body.Close()
	values := make(map[string]any)
	if json.NewDecoder(resp.Body).Decode(&values) != nil {
		return -1
	}
	if nested, ok := values["dotterelthread"].(map[string]any); ok {
		values = nested
	}
	v, ok := values[key].(float64)
	if !ok {
		return -1
	}
	return v
}

// peerByteCounters count the bytes of each connection both at the side that opened it and at the side that
// accepted it.
var peerByteCounters = []string{
	"peer_client_sent_bytes_total", "peer_client_received_bytes_total",
	"peer_server_sent_bytes_total", "peer_server_received_bytes_total",
}

func (r *router) peerBytes() float64 {
	sum := 0.0
	for _, name := range peerByteCounters {
		sum += adminValue(r.admin+"/debug/vars", name)
	}
	return sum
}

// logIdleUsage logs the mean resource usage of the routers while they serve no requests.
func (f *fleet) logIdleUsage(t *testing.T) {
	t.Helper()
	usage := func() (peerBytes, cpuSeconds, residentBytes float64) {
		for _, r := range f.routers {
			peerBytes += r.peerBytes()
			cpu, rss := processUsage(t, r.cmd.Process.Pid)
			cpuSeconds, residentBytes = cpuSeconds+cpu, residentBytes+rss
		}
		return peerBytes, cpuSeconds, residentBytes
	}
	start := time.Now()
	peerBytesBefore, cpuSecondsBefore, _ := usage()
	time.Sleep(idleMeasurement)
	peerBytesAfter, cpuSecondsAfter, residentBytes := usage()
	elapsed, n := time.Since(start).Seconds(), float64(len(f.routers))
	t.Logf("per router: %.0f peer bytes/s, %.2f%% of a core, %.1f MB resident",
		(peerBytesAfter-peerBytesBefore)/elapsed/n, (cpuSecondsAfter-cpuSecondsBefore)/elapsed/n*100, residentBytes/n/1e6)
}

// processUsage returns the processor time of a process in seconds and its resident memory in bytes.
func processUsage(t *testing.T, pid int) (cpuSeconds, residentBytes float64) {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Skip("no /proc on this system")
	}
	// Fields are counted from the end of the command name, which may contain spaces.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	const userTime, systemTime, residentPages = 11, 12, 21
	field := func(i int) float64 {
		v, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	return (field(userTime) + field(systemTime)) / clockTicksPerSecond, field(residentPages) * float64(os.Getpagesize())
}
