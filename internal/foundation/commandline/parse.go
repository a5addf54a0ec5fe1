// Package commandline parses arguments with kingpin without letting it exit the
// process, so that tests can call a program's Main.
package commandline

import "github.com/alecthomas/kingpin/v2"

// exitStatus is the panic value that replaces kingpin's call of os.Exit.
type exitStatus int

// Parse parses the arguments and runs the command's action. exited is true if
// kingpin would have exited the process, as it does after --help.
func Parse(app *kingpin.Application, args []string) (command string, exited bool, err error) {
	app.Terminate(func(status int) { panic(exitStatus(status)) })
	defer func() {
		recovered := recover()
		if recovered == nil {
			return
		}
		if _, ok := recovered.(exitStatus); !ok {
			panic(recovered)
		}
		exited = true
	}()
	command, err = app.Parse(args)
	return command, false, err
}
