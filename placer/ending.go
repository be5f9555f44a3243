package placer

import "time"

// deadlineCutShare is the part of its time from which a canceled stream counts as cut at its
// deadline: the report of its end takes some of that time.
const deadlineCutShare = 0.9

// setPrefillShares predicts the part of its time for which each engine will prefill: as in the
// recent past, and at most the mean of all engines, as further requests go where there is less
// to prefill.
func setPrefillShares(now time.Time, options []candidate) {
	mean := 0.0
	for i := range options {
		o := &options[i]
		o.prefillShare = o.prefillLoad(now) / inMilliseconds(prefillLoadDecay)
		mean += o.prefillShare / float64(len(options))
	}
	for i := range options {
		options[i].prefillShare = min(options[i].prefillShare, mean, 1)
	}
}

// predictEnd returns the predicted time to the last token that a caller expects of its stream,
// in milliseconds; 0 if it expects none. While the engine prefills, a token takes as long as a
// chunk of a prompt.
func (o *candidate) predictEnd(a Request) float64 {
	if o.CacheTokens == 0 || a.Expected <= 0 {
		return 0
	}
	step := stepMillis + contextMillis*float64(o.hold)/1000
	reading := max(o.prefillTime(chunkTokens, chunkTokens), step)
	return o.wait + float64(a.Expected)*(step+o.prefillShare*(reading-step))
}

// expectedEnd returns the expected time to the stream's last token: the prediction, corrected
// by how far recent ones were off.
func (o *candidate) expectedEnd(a Request) time.Duration {
	return milliseconds(o.fit.endRatio() * o.predictEnd(a))
}

// learnEnd learns from a stream that ended, or was cut at its deadline, how long after it was
// sent that was.
func (w *worker) learnEnd(f *flight, took float64, o Outcome) {
	if f.predictedEnd <= 0 || o != Answered && (o != Canceled || took < deadlineCutShare*inMilliseconds(f.Left)) {
		return
	}
	w.fit.learnEnd(f.predictedEnd, took)
}
