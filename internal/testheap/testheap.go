// Package testheap measures the heap for tests of memory limits.
package testheap

import (
	"runtime"
	"time"
)

// sampleInterval is the time between two measurements.
const sampleInterval = 10 * time.Millisecond

// Peak returns the most heap memory that the process had in use while run was running, in bytes.
func Peak(run func()) uint64 {
	done, result := make(chan struct{}), make(chan uint64)
	go func() {
		peak := uint64(0)
		for {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			peak = max(peak, stats.HeapInuse)
			select {
			case <-done:
				result <- peak
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	run()
	close(done)
	return <-result
}
