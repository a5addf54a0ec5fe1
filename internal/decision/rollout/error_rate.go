package rollout

// raisedRates are the increases of a bad version's rate of errors, or of slow answers, that
// are weighed against no increase, each as likely as the others.
var raisedRates = []float64{0.05, 0.1, 0.2, 0.4}

// minErrorRate is the lowest error rate assumed for any version.
const minErrorRate = 0.004

// errorRate returns the rate of errors. One error is added, so that a small sample
// without errors does not give a rate of zero.
func (s AnswerStats) errorRate() float64 { return float64(s.Errors+1) / float64(s.Total()+1) }
