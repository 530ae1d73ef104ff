package load

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Report summarizes the results of a run.
type Report struct {
	// Requests is the number of results, and Codes counts them by code. A request that was not sent because
	// the run ended can be among them (see Run), with the empty code.
	Requests int            `json:"requests"`
	Codes    map[string]int `json:"codes"`
	// Billed is the number of tokens that all responses together report as used.
	Billed    int64       `json:"billed"`
	FirstByte Percentiles `json:"first_byte"`
	Total     Percentiles `json:"total"`
}

// Percentiles are computed from complete responses only. In JSON they are in nanoseconds.
type Percentiles struct {
	P50 time.Duration `json:"p50"`
	P95 time.Duration `json:"p95"`
	P99 time.Duration `json:"p99"`
}

// Summarize builds the report of a run.
func Summarize(results []Result) Report {
	r := Report{Requests: len(results), Codes: make(map[string]int)}
	var firstByte, total []time.Duration
	for _, result := range results {
		r.Codes[result.Code]++
		r.Billed += result.Billed
		if result.Code == CodeOK {
			firstByte = append(firstByte, result.FirstByte)
			total = append(total, result.Total)
		}
	}
	r.FirstByte = percentiles(firstByte)
	r.Total = percentiles(total)
	return r
}

func percentiles(durations []time.Duration) Percentiles {
	if len(durations) == 0 {
		return Percentiles{}
	}
	slices.Sort(durations)
	at := func(percent int) time.Duration { return durations[(len(durations)-1)*percent/100] }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99)}
}

// WriteText writes the report as text.
func (r Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "%d requests, %d tokens billed\n", r.Requests, r.Billed)
	for code, n := range r.Codes {
		fmt.Fprintf(w, "  %s: %d\n", code, n)
	}
	fmt.Fprintf(w, "first byte p50 %v p95 %v p99 %v\n", r.FirstByte.P50, r.FirstByte.P95, r.FirstByte.P99)
	fmt.Fprintf(w, "total      p50 %v p95 %v p99 %v\n", r.Total.P50, r.Total.P95, r.Total.P99)
}
