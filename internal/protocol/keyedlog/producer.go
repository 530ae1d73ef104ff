package keyedlog

const (
	// epochStep is added to an epoch that the log has refused because a higher one is known. Epochs are times in
	// microseconds, so it is a second.
	epochStep = 1_000_000
	// epochGrowth multiplies the step with each refusal in a row.
	epochGrowth = 16
	// maxEpochRaises bounds the growth. The steps up to then cover a clock that was set back by years.
	maxEpochRaises = 10
)

// Raised returns the producer with a higher epoch, for use after the log has refused the present one with ErrFenced. refusals
// is the number of refusals in a row before that.
func (p Producer) Raised(refusals int) Producer {
	step := uint64(epochStep)
	for range min(refusals, maxEpochRaises) {
		step *= epochGrowth
	}
	return Producer{ID: p.ID, Epoch: p.Epoch + step}
}
