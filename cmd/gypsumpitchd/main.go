// Command gypsumpitchd is the router daemon, which runs on every entry host.
package main

import (
	"os"

	"gypsumpitch.example/gypsumpitch/internal/program/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }
