// Command gypsumpitch is the command line with which operators manage a deployment.
package main

import (
	"os"

	"gypsumpitch.example/gypsumpitch/internal/program/client"
)

func main() { os.Exit(client.Main(os.Args[1:], os.Stdout, os.Stderr)) }
