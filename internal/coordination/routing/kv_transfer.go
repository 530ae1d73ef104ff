package routing

import "time"

// KVTransfer describes the transfer of a prompt's KV cache from one engine to another.
type KVTransfer struct {
	// Tokens is the length of the cached prefix.
	Tokens int64
	// BytesPerToken is the size of the model's KV cache per token.
	BytesPerToken int64
	// BytesPerSecond is the bandwidth between the engines.
	BytesPerSecond float64
	// SetupTime is the fixed cost of one export and import.
	SetupTime time.Duration
	// PrefillTokensPerSecond is the rate at which the receiver computes a prompt.
	PrefillTokensPerSecond float64
}

// TransferTime returns the duration of the export and import.
func (t KVTransfer) TransferTime() time.Duration {
	return t.SetupTime + timeAtRate(float64(t.Tokens*t.BytesPerToken), t.BytesPerSecond)
}

// RecomputeTime returns the time that the receiver needs to compute the prefix.
func (t KVTransfer) RecomputeTime() time.Duration {
	return timeAtRate(float64(t.Tokens), t.PrefillTokensPerSecond)
}

// Worthwhile reports whether the transfer is faster than computing the prefix again. It is false if the
// bandwidth is unknown.
func (t KVTransfer) Worthwhile() bool {
	return t.BytesPerSecond > 0 && t.TransferTime() < t.RecomputeTime()
}

// maxEstimate bounds estimated times and stands for the time at an unknown rate.
const maxEstimate = 24 * time.Hour

func timeAtRate(amount, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return maxEstimate
	}
	return time.Duration(min(amount/perSecond, maxEstimate.Seconds()) * float64(time.Second))
}
