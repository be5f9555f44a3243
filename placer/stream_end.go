package placer

import "time"

// deadlineCutShare is the part of its time from which a canceled stream counts as cut at its
// deadline: the report of its end takes some of that time.
const deadlineCutShare = 0.9

// setPrefillShares predicts the part of its time for which each engine will prefill: as in the
// recent past, and at most the mean of all engines, as further requests go where there is less
// to prefill.
func setPrefillShares(now time.Time, candidates []candidate) {
	mean := 0.0
	for i := range candidates {
		c := &candidates[i]
		c.prefillShare = c.prefillLoad(now) / inMilliseconds(prefillLoadDecay)
		mean += c.prefillShare / float64(len(candidates))
	}
	for i := range candidates {
		candidates[i].prefillShare = min(candidates[i].prefillShare, mean, 1)
	}
}

// predictEnd returns the predicted time to the last token that a caller expects of its stream,
// in milliseconds; 0 if it expects none. While the engine prefills, a token takes as long as a
// chunk of a prompt.
func (c *candidate) predictEnd(req Request) float64 {
	if c.CacheTokens == 0 || req.Expected <= 0 {
		return 0
	}
	step := stepMillis + contextMillis*float64(c.hold)/1000
	chunkTime := max(c.prefillTime(chunkTokens, chunkTokens), step)
	return c.wait + float64(req.Expected)*(step+c.prefillShare*(chunkTime-step))
}

// expectedEnd returns the expected time to the stream's last token: the prediction, corrected
// by how far recent ones were off.
func (c *candidate) expectedEnd(req Request) time.Duration {
	return milliseconds(c.fit.endRatio() * c.predictEnd(req))
}

// learnEnd updates the fit with the time from sending to end of a stream that was answered, or
// cut at its deadline.
func (w *worker) learnEnd(f *flight, took float64, o Outcome) {
	if f.predictedEnd <= 0 || !o.answered() && (o != Canceled || took < deadlineCutShare*inMilliseconds(f.Left)) {
		return
	}
	w.fit.learnEnd(f.predictedEnd, took)
}
