package caller

import "gypsumpitch.example/gypsumpitch/internal/foundation/result"

// correctRun keeps a refusal from saying "not run" after an attempt that may
// have run.
func correctRun(mayHaveRun bool, err error) error {
	e := result.From(err)
	if mayHaveRun && e.Code.Run == result.RunNo {
		return result.New(result.BackendFailed, "an earlier attempt may have run; then: %s", e.Error())
	}
	return e
}
