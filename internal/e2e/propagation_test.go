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

// measureVariable switches the measurement on. It takes about a minute and its
// times are of no use on a busy machine, so it is no part of the test suite. The
// name has not the prefix of the settings, of which routers refuse unknown ones.
const measureVariable = "MEASURE_PROPAGATION"

const (
	propagationPublishes = 10
	// propagationTarget is the time in which a publish is to be in force everywhere.
	propagationTarget = 4 * time.Second
	idleMeasured      = 5 * time.Second
	// ticksPerSecond is the unit of processor time in /proc on Linux.
	ticksPerSecond = 100
)

// TestMeasurePropagation reports how long a publish takes to be in force on
// every router, relative to the target, and what an idle router costs. It guards against a
// publish that does not reach all routers when the log answers slowly.
func TestMeasurePropagation(t *testing.T) {
	if os.Getenv(measureVariable) == "" {
		t.Skip("set " + measureVariable + "=1 to measure")
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
	publishSample(t, logURL, engineURL)
	f := startFleet(t, n, logURL, "--flush-interval", "500ms")
	setLogFaults(t, logURL, standin.LogFaults{Delay: delay})
	log := logclient.New(logURL)
	var all []time.Duration
	for i := range propagationPublishes {
		data, err := json.Marshal(configsync.Update{ID: fmt.Sprint("m", i), Base: uint64(i + 1)})
		is.NoErr(err)
		began := time.Now()
		_, err = log.Append(context.Background(), record.ConfigStream, data)
		is.NoErr(err)
		all = append(all, f.waitVersion(t, uint64(i+2), began))
	}
	slices.Sort(all)
	t.Logf("from the append to in force everywhere, relative to the target: median %.3f, largest %.3f",
		all[len(all)/2].Seconds()/propagationTarget.Seconds(), all[len(all)-1].Seconds()/propagationTarget.Seconds())
	f.logIdleCost(t)
}

// waitVersion returns the time from began until every router has the version.
func (f *fleet) waitVersion(t *testing.T, version uint64, began time.Time) time.Duration {
	t.Helper()
	var last atomic.Int64
	var waits conc.WaitGroup
	for _, r := range f.routers {
		waits.Go(func() {
			for time.Since(began) < 20*time.Second {
				if adminValue(r.admin+"/admin/status", "config_version") >= float64(version) {
					elapsed := int64(time.Since(began))
					for old := last.Load(); old < elapsed && !last.CompareAndSwap(old, elapsed); old = last.Load() {
					}
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
			t.Errorf("version %d is not in force on %s", version, r.admin)
		})
	}
	waits.Wait()
	return time.Duration(last.Load())
}

// adminValue returns a number of an operators' endpoint, or -1.
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

// peerByteCounters count each connection at the side that opened it and at the
// side that accepted it.
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

// logIdleCost reports what the routers use without requests, on the mean.
func (f *fleet) logIdleCost(t *testing.T) {
	t.Helper()
	cost := func() (bytes, seconds, resident float64) {
		for _, r := range f.routers {
			bytes += r.peerBytes()
			used, pages := processUse(t, r.cmd.Process.Pid)
			seconds, resident = seconds+used, resident+pages
		}
		return bytes, seconds, resident
	}
	began := time.Now()
	bytesBefore, secondsBefore, _ := cost()
	time.Sleep(idleMeasured)
	bytesAfter, secondsAfter, resident := cost()
	elapsed, n := time.Since(began).Seconds(), float64(len(f.routers))
	t.Logf("per router: %.0f peer bytes/s, %.2f%% of a core, %.1f MB resident", (bytesAfter-bytesBefore)/elapsed/n,
		(secondsAfter-secondsBefore)/elapsed/n*100, resident/n/1e6)
}

// processUse returns the processor time of a process in seconds and its
// resident memory in bytes.
func processUse(t *testing.T, pid int) (seconds, resident float64) {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Skip("no /proc on this system")
	}
	// The fields are counted from the end of the name, which may hold spaces.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	const userTime, systemTime, residentPages = 11, 12, 21
	number := func(i int) float64 {
		v, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	return (number(userTime) + number(systemTime)) / ticksPerSecond, number(residentPages) * float64(os.Getpagesize())
}
