package placer

import "time"

// deadlineShare is the part of its time from which on a stream that its caller left was
// given up at its deadline: word of that takes some of it.
const deadlineShare = 0.9

// shareDuty sets for how much of its time each engine will read: what it was given lately,
// and no more than the mean of all, as what comes next goes where there is less.
func shareDuty(now time.Time, options []option) {
	mean := 0.0
	for i := range options {
		o := &options[i]
		o.duty = o.readLately(now) / inMilliseconds(readFades)
		mean += o.duty / float64(len(options))
	}
	for i := range options {
		options[i].duty = min(options[i].duty, mean, 1)
	}
}

// finish is the milliseconds until the last token that a caller expects of its stream, 0
// where it expects none: while the engine reads, a token takes as long as a chunk of a
// prompt.
func (o *option) finish(a Request) float64 {
	if o.CacheTokens == 0 || a.Expected <= 0 {
		return 0
	}
	step := stepTime + contextTime*float64(o.hold)/1000
	reading := max(o.readTime(chunk, chunk), step)
	return o.wait + float64(a.Expected)*(step+o.duty*(reading-step))
}

// end is when the stream's last token is expected: finish, as far as such predictions held
// lately.
func (o *option) end(a Request) time.Duration { return milliseconds(o.fit.lasting() * o.finish(a)) }

// learnEnd takes how long after it was sent a stream ended, or was given up at its deadline.
func (w *worker) learnEnd(f *flight, took float64, o Outcome) {
	if f.ends <= 0 || o != Answered && (o != Canceled || took < deadlineShare*inMilliseconds(f.Left)) {
		return
	}
	w.fit.learnEnd(f.ends, took)
}
