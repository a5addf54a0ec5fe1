package caller

import "gypsumpitch.example/gypsumpitch/internal/foundation/result"

// withEarlierAttempts returns the error to report for the whole request: an error with run
// "no" is replaced if an earlier attempt may have run.
func withEarlierAttempts(mayHaveRun bool, err error) error {
	e := result.From(err)
	if mayHaveRun && e.Code.Run == result.RunNo {
		return result.New(result.BackendFailed, "an earlier attempt may have run; the retry failed: %s", e.Error())
	}
	return e
}
