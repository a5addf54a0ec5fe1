// Package commandline runs kingpin so that it returns in place of ending the
// process, for programs whose Main is tested.
package commandline

import "github.com/alecthomas/kingpin/v2"

// ended is what kingpin's wish to end the process becomes.
type ended int

// Parse parses the arguments and runs the command's action. Where the output is
// already complete, as after --help, over is true.
func Parse(app *kingpin.Application, args []string) (command string, over bool, err error) {
	app.Terminate(func(status int) { panic(ended(status)) })
	defer func() {
		problem := recover()
		if problem == nil {
			return
		}
		if _, ok := problem.(ended); !ok {
			panic(problem)
		}
		over = true
	}()
	command, err = app.Parse(args)
	return command, false, err
}
