package routing

import "time"

// KVMove describes the move of a prompt's KV cache between two engines.
type KVMove struct {
	// Tokens is the length of the cached prefix.
	Tokens int64
	// BytesPerToken is the size of the cache of one token for the model.
	BytesPerToken int64
	// BytesPerSecond is the bandwidth between the engines.
	BytesPerSecond float64
	// Setup is the fixed time of an export and import.
	Setup time.Duration
	// PrefillTokensPerSecond is how fast the receiver computes a prompt.
	PrefillTokensPerSecond float64
}

// TransferTime returns how long the export and import take.
func (m KVMove) TransferTime() time.Duration {
	return m.Setup + seconds(float64(m.Tokens*m.BytesPerToken), m.BytesPerSecond)
}

// RecomputeTime returns how long the receiver takes to compute the prefix.
func (m KVMove) RecomputeTime() time.Duration {
	return seconds(float64(m.Tokens), m.PrefillTokensPerSecond)
}

// Worthwhile reports whether the cache is moved: the transfer takes less time
// than computing the prefix again. Without a known bandwidth it is not.
func (m KVMove) Worthwhile() bool {
	return m.BytesPerSecond > 0 && m.TransferTime() < m.RecomputeTime()
}

// forever stands for a time at an unknown rate.
const forever = 24 * time.Hour

func seconds(amount, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return forever
	}
	return time.Duration(min(amount/perSecond, forever.Seconds()) * float64(time.Second))
}
