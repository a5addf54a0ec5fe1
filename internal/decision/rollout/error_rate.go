package rollout

import "math"

// raisedErrorRates are the increases of a bad version's error rate that are weighed
// against no increase, each as likely as the others.
var raisedErrorRates = []float64{0.05, 0.1, 0.2, 0.4}

// minErrorRate is the lowest error rate assumed for any version.
const minErrorRate = 0.004

// errorRatio returns the log likelihood ratio of the canary's error rate being raised
// rather than the baseline's. It is zero if the errors are confined to a few servers.
func (c Comparison) errorRatio() float64 {
	if !isSpread(c.Canary.Errors, c.Canary.ErrorServers, c.Canary.Servers) {
		return 0
	}
	usual := math.Max(c.Baseline.errorRate(), minErrorRate)
	failed, served := spreadAnswers(c.Canary.Errors, c.Canary.ErrorServers, c.Canary.Servers), float64(max(c.Canary.Total()-c.Canary.Errors, 0))
	sum := 0.0
	for _, increase := range raisedErrorRates {
		raised := math.Min(usual+increase, maxBadRate)
		sum += math.Exp(failed*math.Log(raised/usual) + served*math.Log((1-raised)/math.Max(1-usual, 1-maxBadRate)))
	}
	return math.Log(sum / float64(len(raisedErrorRates)))
}

// errorRate returns the rate of errors. One error is added, so that a small sample
// without errors does not give a rate of zero.
func (s AnswerStats) errorRate() float64 { return float64(s.Errors+1) / float64(s.Total()+1) }
